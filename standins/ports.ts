import {createServer} from 'node:net';

// Below the ephemeral port range, so that no outgoing connection takes a free
// port before a daemon binds it.
const FIRST_PORT = 20_000;
const BLOCK_SIZE = 100;
const BLOCKS = 120;

let block = process.pid % BLOCKS;
let offset = 0;

/**
 * Loopback address derived from the process id. On a shared address, another
 * process could bind the port of a server that restarts.
 */
export const OWN_ADDRESS = `127.1.${(process.pid >> 8) & 255}.${process.pid & 255}`;

/** Finds an unused port on 127.0.0.1; each call tries the next ports. */
export async function findPort(): Promise<number> {
  for (let tries = 0; tries < BLOCKS * BLOCK_SIZE; tries++) {
    const port = FIRST_PORT + block * BLOCK_SIZE + offset++;
    if (offset === BLOCK_SIZE) {
      offset = 0;
      block = (block + 1) % BLOCKS;
    }
    if (await isFree(port)) return port;
  }
  throw new Error('no free port');
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const probe = createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, '127.0.0.1', () => probe.close(() => resolve(true)));
  });
}
