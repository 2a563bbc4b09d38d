import type {MemberRecord} from '../types/messages.js';

/** A member as known here. */
export interface Member {
  record: MemberRecord;
  /** Monotonic time of the last sign of life, direct or relayed, ms. */
  heardAt: number;
  /** True while the instance list names it. */
  listed: boolean;
}

/** Member table of one daemon, by id; excludes the daemon itself. */
export interface MemberTable {
  readonly byId: Map<string, Member>;
}

/** Creates an empty member table. */
export function createMemberTable(): MemberTable {
  return {byId: new Map()};
}
