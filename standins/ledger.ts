/** Outcome of a run; `running` until it ends. */
export type RunOutcome =
  'running' | 'done' | 'cancelled' | 'deadline' | 'crashed';

/** Execution of an operation at an upstream. */
export interface Run {
  readonly seq: number;
  readonly upstream: string;
  /** Value of `berylbend-id`, empty when absent. */
  readonly id: string;
  /** Value of `idempotency-key`, empty when absent. */
  readonly key: string;
  /** Operation name in the `op` query parameter, empty when absent. */
  readonly operation: string;
  readonly method: string;
  readonly path: string;
  readonly startedAtMs: number;
  outcome: RunOutcome;
}

/** Record of all runs; several upstreams may share one. */
export interface Ledger {
  readonly runs: readonly Run[];
  start(run: Omit<Run, 'seq' | 'outcome'>): Run;
  findByKey(key: string): Run[];
  findByOperation(operation: string): Run[];
  /** Groups runs by key, else operation; returns groups of two or more. */
  findRepeatedRuns(): Run[][];
}

/** Creates an empty ledger. */
export function createLedger(): Ledger {
  const runs: Run[] = [];

  function start(run: Omit<Run, 'seq' | 'outcome'>): Run {
    const started: Run = {...run, seq: runs.length + 1, outcome: 'running'};
    runs.push(started);
    return started;
  }

  function findRepeatedRuns(): Run[][] {
    const groups = new Map<string, Run[]>();
    for (const run of runs) {
      const name = run.key ? `key ${run.key}` : `operation ${run.operation}`;
      if (!run.key && !run.operation) continue;
      groups.set(name, [...(groups.get(name) ?? []), run]);
    }
    return [...groups.values()].filter(group => group.length > 1);
  }

  return {
    runs,
    start,
    findByKey: key => runs.filter(run => run.key === key),
    findByOperation: name => runs.filter(run => run.operation === name),
    findRepeatedRuns,
  };
}
