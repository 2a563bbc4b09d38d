import type {Board, LoadHint, MemberState, Refusal} from '../internal.js';

/** Version as shown to operators. */
export interface VersionStatus {
  version: number;
  digest: string;
  index: number;
  /** False while no peer has confirmed it. */
  confirmed: boolean;
}

/** Status of a daemon as served on the admin port. */
export interface Status {
  id: string;
  dataCentre: string;
  service: string;
  boot: string;
  incarnation: number;
  state: MemberState;
  version: VersionStatus | null;
  /** Data centres and their state in the version in force. */
  dataCentres: Record<string, string>;
  viewStale: boolean;
  /** Load of the local upstream. */
  upstream: LoadHint;
  /** Age of the newest reply of the configuration service, ms; -1 if none. */
  sourceAgeMs: number;
  refusals: Refusal[];
  links: string[];
  /** Member ids by data centre and state, the daemon itself included. */
  members: Record<string, Partial<Record<MemberState, string[]>>>;
  counters: Record<string, number>;
}

/** Builds the status of a daemon as shown to operators. */
export function describeStatus(
  board: Board,
  upstream: LoadHint,
  now: number,
): Status {
  const {self, config} = board;
  const {inForce} = config;
  return {
    id: self.id,
    dataCentre: self.dataCentre,
    service: self.service,
    boot: self.boot,
    incarnation: self.incarnation,
    state: self.state,
    version: inForce
      ? {
          version: inForce.version,
          digest: inForce.digest,
          index: inForce.index,
          confirmed: config.confirmed,
        }
      : null,
    dataCentres: Object.fromEntries(
      Object.entries(inForce?.document.dataCentres ?? {}).map(
        ([name, dataCentre]) => [name, dataCentre.state],
      ),
    ),
    viewStale: board.viewStale,
    sourceAgeMs:
      board.reader.succeededAt === undefined
        ? -1
        : Math.round(now - board.reader.succeededAt),
    upstream,
    refusals: config.refusals,
    links: [...board.links.keys()].sort(),
    members: groupMembers(board),
    counters: Object.fromEntries([...board.counters].sort()),
  };
}

function groupMembers(board: Board): Status['members'] {
  const groups: Status['members'] = {};
  const others = [...board.members.byId.values()].map(member => member.record);
  for (const record of [board.self, ...others]) {
    const states = (groups[record.dataCentre] ??= {});
    (states[record.state] ??= []).push(record.id);
  }
  return groups;
}
