import {Flags} from '@oclif/core';
import * as z from 'zod';
import {
  eventSchema,
  mergeTimelines,
  type TimelineEvent,
} from '../../internal.js';
import {BaseCommand, fetchJson, outFlag} from '../base.js';
import {drawTimeline} from '../timeline_svg.js';

const replySchema = z.object({
  dropped: z.number(),
  events: z.array(eventSchema),
});

/** Merges the events of several daemons into one time line. */
export class TimelineCommand extends BaseCommand {
  static override description =
    'Merge the events of all reachable daemons into one causal order. Exit ' +
    'codes: 0 shown, 3 no daemon could be reached.';
  static override examples = [
    '<%= config.bin %> timeline --from http://127.0.0.1:7003 --from http://127.0.0.1:7103',
    '<%= config.bin %> timeline --from http://127.0.0.1:7003 --request ID',
    '<%= config.bin %> timeline --from http://127.0.0.1:7003 --format svg --out run.svg',
  ];
  static override flags = {
    from: Flags.string({
      required: true,
      multiple: true,
      description: 'admin URL of a daemon; repeat for each daemon',
    }),
    request: Flags.string({description: 'only events of this request id'}),
    version: Flags.integer({description: 'only events of this version'}),
    upstream: Flags.string({description: 'only events of this upstream'}),
    format: Flags.string({options: ['text', 'json', 'svg'], default: 'text'}),
    out: outFlag,
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(TimelineCommand);
    const lists: TimelineEvent[][] = [];
    for (const from of flags.from) {
      try {
        const reply = replySchema.parse(await fetchJson(from, '/timeline'));
        lists.push(reply.events);
        if (reply.dropped > 0) {
          this.logToStderr(`${from}: ${reply.dropped} older events dropped`);
        }
      } catch {
        this.logToStderr(`${from}: not reachable, left out`);
      }
    }
    if (lists.length === 0) this.exit(3);
    const events = mergeTimelines(lists).filter(event => matches(event, flags));
    this.write(
      FORMATS[flags.format as keyof typeof FORMATS](events),
      flags.out,
    );
  }
}

/** Renderers by `--format`. */
const FORMATS = {
  text: (events: TimelineEvent[]) => events.map(formatEvent).join('\n'),
  json: (events: TimelineEvent[]) => JSON.stringify(events, null, 2),
  svg: (events: TimelineEvent[]) => drawTimeline(events),
};

/** Formats an event as one line of text. */
export function formatEvent(event: TimelineEvent): string {
  const time = new Date(event.wallMs).toISOString().slice(11, 23);
  const detail = Object.entries(event.detail)
    .map(([key, value]) => `${key}=${value}`)
    .join(' ');
  return `${time} ${event.id} ${event.kind} ${detail}`.trimEnd();
}

interface Filter {
  request?: string;
  version?: number;
  upstream?: string;
}

function matches(event: TimelineEvent, filter: Filter): boolean {
  const {request, version, upstream} = filter;
  if (request !== undefined && event.detail['request'] !== request) {
    return false;
  }
  if (version !== undefined && event.detail['version'] !== version) {
    return false;
  }
  const names = [event.id, event.detail['upstream']];
  return upstream === undefined || names.includes(upstream);
}
