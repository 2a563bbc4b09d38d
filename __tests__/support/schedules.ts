import fc from 'fast-check';
import type {Network, Node} from './network.js';

/** One step of a fault schedule; `pick` in [0, 1) selects target or value. */
export interface Step {
  kind: (typeof KINDS)[number];
  pick: number;
  /** Time until the next step, ms. */
  waitMs: number;
}

const KINDS = [
  'publish',
  'publishStale',
  'publishBad',
  'cutCentre',
  'cutCentreAndSource',
  'cutDaemon',
  'heal',
  'killOne',
  'killHalf',
  'restartAll',
  'pause',
  'resumeAll',
  'sourceDown',
  'sourceBackwards',
  'sourceStale',
  'sourceGood',
  'lossyLinks',
  'goodLinks',
] as const;

/** Generates schedules of 3 to 25 steps. */
export const schedules: fc.Arbitrary<Step[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(...KINDS),
    pick: fc.double({min: 0, max: 1, maxExcluded: true, noNaN: true}),
    waitMs: fc.oneof(fc.nat({max: 2_000}), fc.nat({max: 30_000})),
  }),
  {minLength: 3, maxLength: 25},
);

function pickNode(nodes: Node[], pick: number): Node | undefined {
  return nodes[Math.floor(pick * nodes.length)];
}

const ACTIONS: Record<Step['kind'], (net: Network, pick: number) => void> = {
  publish: (net, pick) => net.publishTimeout('r0', 1 + Math.floor(pick * 1e6)),
  publishStale: (net, pick) => {
    const base = net.expectedConfig.current!.version;
    net.publishTimeout('r1', 1 + Math.floor(pick * 1e6), base);
    net.publishTimeout('r1', 2 + Math.floor(pick * 1e6), base);
  },
  publishBad: net => net.publishTimeout('r0', -1),
  cutCentre: (net, pick) => {
    const dataCentre = pickNode([...net.nodes.values()], pick)!.dataCentre;
    net.cut(node => node.dataCentre === dataCentre);
  },
  cutCentreAndSource: (net, pick) => {
    const dataCentre = pickNode([...net.nodes.values()], pick)!.dataCentre;
    net.cut(node => node.dataCentre === dataCentre, true);
  },
  cutDaemon: (net, pick) => {
    const {id} = pickNode([...net.nodes.values()], pick)!;
    net.cut(node => node.id === id, true);
  },
  heal: net => net.heal(),
  killOne: (net, pick) => {
    const node = pickNode(net.getLiveNodes(), pick);
    if (node) net.kill(node.id, pick < 0.5);
  },
  killHalf: (net, pick) => {
    const odd = pick < 0.5 ? 0 : 1;
    net.getLiveNodes().forEach((node, i) => {
      if (i % 2 === odd) net.kill(node.id);
    });
  },
  restartAll: net => restartAll(net),
  pause: (net, pick) => {
    const node = pickNode(net.getLiveNodes(), pick);
    if (node) net.pause(node.id);
  },
  resumeAll: net => resumeAll(net),
  sourceDown: net => (net.source.down = true),
  sourceBackwards: (net, pick) => (net.source.backwards = pick),
  sourceStale: net => (net.source.staleAt = net.entries.length),
  sourceGood: net => healSource(net),
  lossyLinks: (net, pick) => {
    Object.assign(net.faults, {drop: pick / 3, duplicate: 0.2, reorder: 0.2});
  },
  goodLinks: net => healLinks(net),
};

function restartAll(net: Network): void {
  for (const node of [...net.nodes.values()]) {
    if (!node.alive) net.start(node.id, node.skewMs);
  }
}

function resumeAll(net: Network): void {
  for (const node of net.getLiveNodes()) if (node.paused) net.resume(node.id);
}

function healSource(net: Network): void {
  Object.assign(net.source, {down: false, backwards: 0, staleAt: undefined});
}

function healLinks(net: Network): void {
  Object.assign(net.faults, {drop: 0, duplicate: 0, reorder: 0});
}

/** Runs a schedule step by step. */
export function runSchedule(net: Network, steps: readonly Step[]): void {
  for (const {kind, pick, waitMs} of steps) {
    ACTIONS[kind](net, pick);
    net.run(waitMs);
  }
}

/** Ends all faults at the same time. */
export function healAll(net: Network): void {
  net.heal();
  healSource(net);
  healLinks(net);
  resumeAll(net);
  restartAll(net);
}
