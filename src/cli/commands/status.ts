import {Flags} from '@oclif/core';
import type {Status} from '../../daemon/status.js';
import {BaseCommand, fetchJson} from '../base.js';

/** Shows the status of a daemon and its view of the fleet. */
export class StatusCommand extends BaseCommand {
  static override description =
    'Show the version in force, age of the view, members per data centre and ' +
    'the state of the upstream, as one daemon sees them. Exit codes: 0 shown, ' +
    '3 the daemon cannot be reached.';
  static override examples = [
    '<%= config.bin %> status --from http://127.0.0.1:7003',
    '<%= config.bin %> status --from http://127.0.0.1:7003 --json',
  ];
  static override flags = {
    from: Flags.string({required: true, description: 'admin URL of a daemon'}),
    json: Flags.boolean({description: 'print the whole status as JSON'}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(StatusCommand);
    const status = (await fetchJson(flags.from, '/status')) as Status;
    const text = flags.json
      ? JSON.stringify(status, null, 2)
      : formatStatus(status).join('\n');
    this.log(text);
  }
}

/** Formats a status as lines of text. */
export function formatStatus(status: Status): string[] {
  const {version} = status;
  const inForce = version
    ? `${version.version} (${version.digest.slice(0, 8)})`
    : 'none';
  const versionNote = version && !version.confirmed ? ' unconfirmed' : '';
  return [
    `${status.id} in ${status.dataCentre}, ${status.service}, ${status.state}`,
    `version ${inForce}${versionNote}`,
    `view ${status.viewStale ? 'stale' : 'fresh'}, ` +
      `source ${formatAge(status.sourceAgeMs)}, links ${status.links.length}`,
    ...formatUpstream(status),
    ...formatMembers(status),
    ...status.refusals.map(
      refusal =>
        `refused entry ${refusal.index} by ${refusal.author} ` +
        `on base ${refusal.base}: ${refusal.reason}`,
    ),
  ];
}

function formatAge(ms: number): string {
  return ms < 0 ? 'never read' : `read ${(ms / 1_000).toFixed(1)} s ago`;
}

function formatUpstream(status: Status): string[] {
  const {limit, inFlight, queued, cold, stalled} = status.upstream;
  const marks = [cold && 'cold', stalled && 'stalled'].filter(Boolean);
  const state = marks.length > 0 ? marks.join(', ') : 'warm';
  return [
    `upstream ${state}: limit ${limit}, in flight ${inFlight}, queued ${queued}`,
  ];
}

function formatMembers(status: Status): string[] {
  return Object.entries(status.members)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([dataCentre, states]) => {
      const counts = Object.entries(states).map(
        ([state, ids]) => `${ids.length} ${state}`,
      );
      const trafficState = status.dataCentres[dataCentre] ?? 'unknown';
      return `data centre ${dataCentre} (${trafficState}): ${counts.join(', ')}`;
    });
}
