import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {
  announceLeaving,
  handleLinkUp,
  handleMessage,
  handleTick,
  listMembers,
  MAX_ACCEPTED,
  MESSAGES,
  parseMessage,
  type MessageName,
  type PeerMessage,
} from '../src/internal.js';
import {createDocument} from './support/documents.js';
import {Network, type NetworkOptions} from './support/network.js';

const DATA_CENTRES = {d1: 4, d2: 4, d3: 4};
const TARGET_MS = 6_000;

/** Runs a scenario on a network that has started up. */
function withNetwork(
  options: Partial<NetworkOptions>,
  scenario: (net: Network) => void,
): void {
  const dataCentres = options.dataCentres ?? DATA_CENTRES;
  const document = createDocument(Object.keys(dataCentres));
  const net = new Network({seed: 7, document, dataCentres, ...options});
  try {
    net.run(10_000);
    scenario(net);
  } finally {
    net.stop();
  }
}

function assertConverges(t: ExecutionContext, net: Network, what = ''): void {
  t.not(
    net.runUntil(() => net.isConverged(), TARGET_MS),
    undefined,
    what,
  );
}

test('a publication converges within 6 s without faults', t => {
  withNetwork({}, net => {
    for (let i = 0; i < 40; i++) {
      net.publishTimeout('r0', 100 + i);
      assertConverges(t, net);
      net.run(net.random() * 5_000);
    }
  });
});

test('daemons find each other despite a list that lags at start', t => {
  withNetwork({listLagMs: 3_000}, net => t.true(net.isMutuallyKnown()));
});

test('conflicting patches during a partition do not diverge the fleet', t => {
  withNetwork({}, net => {
    net.cut(node => node.dataCentre === 'd1', true);
    net.run(3_000);
    const base = net.expectedConfig.current!;
    net.publishTimeout('r0', 111);
    const ops = [{op: 'replace', path: '/routes/r0/timeoutMs', value: 222}];
    const author = 'other';
    const {version, digest} = base;
    net.publish('patch', {base: version, baseDigest: digest, ops, author});
    net.run(20_000);
    t.is(net.getNode('d1-0').board.config.inForce?.version, version);
    t.is(net.getNode('d2-0').board.config.inForce?.version, version + 1);
    net.heal();
    assertConverges(t, net);
    for (const {board} of net.getLiveNodes()) {
      t.is(board.config.inForce!.document.routes.r0.timeoutMs, 111);
      t.like(board.config.refusals.at(-1), {author});
    }
  });
});

test('an hour without the source neither stops nor floods the mesh', t => {
  withNetwork({}, net => {
    net.publishTimeout('r0', 111);
    net.run(TARGET_MS);
    net.source.down = true;
    net.run(60_000);
    const before = net.calls.source;
    net.run(3_540_000);
    t.true(net.isConverged());
    // At most 8 reader ranks in 3 data centres, each about every 5 s on average.
    t.true((net.calls.source - before) / 3_540 < 8);
    net.publishTimeout('r0', 222);
    net.source.down = false;
    assertConverges(t, net);
  });
});

test('older source replies do not roll back a daemon', t => {
  withNetwork({}, net => {
    net.source.backwards = 0.6;
    for (let i = 0; i < 20; i++) {
      net.publishTimeout('r0', 100 + i);
      net.run(3_000);
    }
    net.source.backwards = 0;
    assertConverges(t, net);
  });
});

test('restarting half of the daemons does not delay a version', t => {
  withNetwork({}, net => {
    const half = net.getLiveNodes().filter((_, i) => i % 2 === 0);
    for (const {id} of half) net.kill(id);
    net.publishTimeout('r0', 111);
    for (const {id} of half) net.start(id);
    assertConverges(t, net);
    t.not(
      net.runUntil(() => net.isMutuallyKnown(), 10_000),
      undefined,
    );
  });
});

test('a paused reader neither delays others nor acts on a stale view', t => {
  withNetwork({}, net => {
    const reader = net.getLiveNodes().find(({board}) => board.reader.active)!;
    net.pause(reader.id);
    net.publishTimeout('r0', 111);
    assertConverges(t, net, 'without the paused reader');
    net.run(30_000 - TARGET_MS);
    net.resume(reader.id);
    net.run(250);
    const {board} = reader;
    t.is(board.counters.get('pauses'), 1);
    t.is(listMembers(board, {states: ['gone']}).length, 0);
    assertConverges(t, net, 'with the resumed reader');
    t.not(
      net.runUntil(() => net.isMutuallyKnown() && !board.viewStale, TARGET_MS),
      undefined,
    );
  });
});

test('a data centre keeps its own upstreams when it rejoins', t => {
  withNetwork({dataCentres: {d1: 14, d2: 14}}, net => {
    net.cut(node => node.dataCentre === 'd1', true);
    net.run(600_000);
    net.publishTimeout('r0', 111);
    net.run(5_000);
    t.is(net.getNode('d1-1').board.config.inForce?.version, 1);
    const lost = listMembers(net.getNode('d2-0').board, {dataCentre: 'd1'});
    t.deepEqual(lost, [], 'unreachable members get no new work');
    net.heal();
    const start = net.now;
    let converged: number | undefined;
    while (net.now - start < 20_000) {
      net.run(50);
      if (net.isConverged()) converged ??= net.now - start;
      // Each side reports the members of the other side as gone.
      for (const {board, dataCentre} of net.getLiveNodes()) {
        t.is(listMembers(board, {dataCentre}).length, 14);
      }
    }
    t.true(converged! <= TARGET_MS);
    t.true(net.isMutuallyKnown());
  });
});

test('a push lost in a short partition is recovered from peers', t => {
  withNetwork({}, net => {
    net.cut(node => node.dataCentre === 'd1', true);
    net.publishTimeout('r0', 111);
    net.run(3_000);
    net.source.down = true;
    net.heal();
    assertConverges(t, net);
  });
});

test('the halves of a data centre reconnect after a partition', t => {
  withNetwork({dataCentres: {d1: 8}}, net => {
    net.cut(node => node.id < 'd1-4');
    net.run(60_000);
    t.false(net.isMutuallyKnown());
    net.heal();
    t.not(
      net.runUntil(() => net.isMutuallyKnown(), 30_000),
      undefined,
    );
  });
});

test('an isolated daemon reconnects without waiting for a slow redial', t => {
  withNetwork({dataCentres: {d1: 4}}, net => {
    net.cut(node => node.id === 'd1-0', true);
    net.publishTimeout('r0', 111);
    net.run(60_000);
    net.source.down = true;
    net.heal();
    assertConverges(t, net);
  });
});

test('a delayed checkpoint does not roll back a daemon', t => {
  withNetwork({}, net => {
    const {board, monoMs} = net.getNode('d1-0');
    const {version, digest, index, document} = board.config.current!;
    net.publishTimeout('r0', 111);
    assertConverges(t, net);
    const [peer] = board.links.keys();
    const fields = {version, digest, index, document, refusals: []};
    const now = net.now + monoMs;
    handleMessage(board, peer, {t: 'checkpoint', ...fields}, now);
    t.is(board.config.current?.version, version + 1);
    t.true(net.isConverged());
  });
});

test('skewed clocks do not hide a restarted daemon', t => {
  withNetwork({}, net => {
    net.restart('d1-0', 600_000);
    net.run(10_000);
    // The new process has an earlier clock than the previous one.
    net.restart('d1-0', -600_000);
    net.restart('d2-0', 3_600_000);
    net.publishTimeout('r0', 111);
    assertConverges(t, net);
    t.not(
      net.runUntil(() => net.isMutuallyKnown(), 10_000),
      undefined,
    );
  });
});

test('a restarted daemon does not serve a stale version of the source', t => {
  const served: number[] = [];
  const onVersion: NetworkOptions['onVersion'] = ({id}, version) => {
    if (id === 'd1-0') served.push(version);
  };
  withNetwork({onVersion}, net => {
    net.publishTimeout('r0', 111);
    net.run(TARGET_MS);
    net.source.staleAt = 1;
    served.length = 0;
    const {board} = net.restart('d1-0');
    // Its peers are slower to reach than the source.
    net.cut(node => node.id === 'd1-0');
    t.not(
      net.runUntil(() => board.config.current !== undefined, 2_500),
      undefined,
    );
    net.heal();
    assertConverges(t, net);
    t.deepEqual(served, [2]);
  });
});

test('a leaving daemon gets no new work after 2 s', t => {
  withNetwork({}, net => {
    const leaver = net.getNode('d2-1');
    net.call(leaver, 'leave', now => announceLeaving(leaver.board, now));
    net.run(2_000);
    for (const node of net.getLiveNodes()) {
      if (node.id === 'd2-1') continue;
      const usable = listMembers(node.board).map(({id}) => id);
      t.false(usable.includes('d2-1'), node.id);
    }
  });
});

test('accepted links are bounded and every daemon has a link', t => {
  const dataCentres = {d1: 30, d2: 30, d3: 30, d4: 2};
  withNetwork({dataCentres, seed: 9}, net => {
    net.run(20_000);
    t.true(net.isMutuallyKnown());
    for (const {board} of net.getLiveNodes()) {
      const links = [...board.links.values()];
      t.true(links.filter(link => !link.dialled).length <= MAX_ACCEPTED);
      t.true(links.filter(link => link.dialled).length >= 1);
    }
    const {board} = net.getNode('d1-0');
    for (let i = 0; i < 40; i++) {
      const record = {...board.self, id: `x${i}`};
      handleLinkUp(board, record, false, net.now);
    }
    const accepted = [...board.links.values()].filter(link => !link.dialled);
    t.is(accepted.length, MAX_ACCEPTED);
  });
});

test('a crash report without a handler is ignored', t => {
  withNetwork({}, net => {
    const {board} = net.getNode('d1-0');
    const [peer] = board.links.keys();
    const msg: PeerMessage = {t: 'crash', reports: []};
    t.deepEqual(handleMessage(board, peer, msg, net.now), []);
    board.onCrash = (_, from) => [{kind: 'close', to: from, reason: 'x'}];
    t.is(handleMessage(board, peer, msg, net.now).length, 1);
  });
});

/** Malformed messages: valid names with arbitrary field values. */
const nearMessages = fc
  .constantFrom(...(Object.keys(MESSAGES) as MessageName[]))
  .chain(name => {
    const fields = Object.keys(MESSAGES[name].shape);
    const value = fc.oneof(
      fc.nat(),
      fc.integer(),
      fc.constantFrom('', 'live', 'd1-0', 'a'.repeat(32), null, true),
      fc.array(fc.oneof(fc.nat({max: 20}), fc.object()), {maxLength: 16}),
      fc.array(fc.nat(), {minLength: 16, maxLength: 16}),
      fc.object(),
    );
    const shape = Object.fromEntries(fields.map(field => [field, value]));
    return fc.record({...shape, t: fc.constant(name)});
  });

test('malformed messages neither throw nor stop convergence', t => {
  withNetwork({}, net => {
    const {board, monoMs} = net.getNode('d1-0');
    const [peer] = board.links.keys();
    let handled = 0;
    const runs = fc.property(fc.oneof(nearMessages, fc.anything()), raw => {
      const parsed = parseMessage(raw);
      if (!parsed.ok) return;
      handled++;
      handleMessage(board, peer, parsed.msg, net.now + monoMs);
      handleTick(board, net.now + monoMs);
    });
    fc.assert(runs, {seed: 41, numRuns: 3_000});
    t.true(handled > 50);
    net.publishTimeout('r0', 111);
    assertConverges(t, net);
  });
});
