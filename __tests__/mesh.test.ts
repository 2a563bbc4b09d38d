import test from 'ava';
import {Network, type NetworkOptions} from './support/network.js';
import {createDocument} from './support/documents.js';

const CENTRES = {d1: 4, d2: 4, d3: 4};

function createNetwork(options: Partial<NetworkOptions> = {}): Network {
  const dataCentres = options.dataCentres ?? CENTRES;
  const document = createDocument(Object.keys(dataCentres));
  return new Network({seed: 1, document, dataCentres, ...options});
}

test('x', t => {
  const net = createNetwork();
  net.run(10_000);
  console.log(
    net.isConverged(),
    net.calls,
    net
      .live()
      .map(n =>
        [
          n.id,
          n.board.links.size,
          n.board.members.byId.size,
          n.board.config.inForce?.version,
        ].join(' '),
      ),
  );
  for (let i = 0; i < 20; i++) {
    net.publishTimeout('r0', 1000 + i);
    console.log(net.runUntil(() => net.isConverged(), 10000));
    net.run(1000);
  }
  console.log(net.calls, net.get('d1-0').board.counters);
  net.stop();
  t.pass();
});
