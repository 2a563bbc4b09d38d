import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {startCustomers} from './customers.js';
import {injectFault} from './faults.js';
import {probeVersions} from './probes.js';
import {startWorld, stopWorld, waitReady, type SoakOptions} from './world.js';

/** Time between two faults, ms; faults last longer and so overlap. */
const FAULT_GAP_MS = {shortest: 250, spread: 900};

/** End of a run. */
export interface SoakResult {
  readonly broken: readonly string[];
  readonly statuses: ReadonlyMap<number, number>;
  readonly faults: readonly string[];
  /** Folder with the logs of the daemons. */
  readonly dir: string;
}

/** Runs the real programs under random faults and checks the promises. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const dir = mkdtempSync(join(tmpdir(), `berylbend-soak-${options.seed}-`));
  const world = await startWorld(options, dir);
  // An interrupted run leaves no process behind.
  const abandon = (): void => {
    for (const daemon of world.daemons) daemon.signal('SIGKILL');
  };
  process.once('exit', abandon);
  const {daemons, judge, upstreams, random, now} = world;
  try {
    await waitReady(world);
    const services = new Map(
      daemons.map(({name}, i) => [name, upstreams[i].service]),
    );
    const stopCustomers = startCustomers(
      daemons,
      services,
      judge,
      options.perSecond,
      random,
      now,
    );
    const probes = daemons.map((daemon, i) =>
      probeVersions(world, daemon, upstreams[i].service),
    );
    const endAt = now() + options.seconds * 1_000;
    while (now() < endAt) {
      await delay(FAULT_GAP_MS.shortest + FAULT_GAP_MS.spread * random());
      injectFault(world);
    }
    await Promise.all(world.pending);
    await stopCustomers();
    for (const stop of probes) stop();
  } finally {
    await stopWorld(world);
    process.removeListener('exit', abandon);
  }
  const {broken, statuses} = judge;
  return {broken, statuses, faults: world.faults, dir};
}

/** Lines of the daemons' logs that hold one of the words. */
export function findLines(
  dir: string,
  names: string[],
  word: string,
): string[] {
  return names.flatMap(name =>
    readFileSync(join(dir, `${name}.log`), 'utf8')
      .split('\n')
      .filter(line => line.includes(word))
      .map(line => `${name} ${line}`),
  );
}
