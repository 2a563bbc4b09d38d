import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream, type WriteStream, writeFileSync} from 'node:fs';
import {join} from 'node:path';

/** Ports on the loopback address of each daemon. */
export const PORTS = {
  customer: 18_101,
  peer: 18_102,
  ready: 18_103,
  control: 18_104,
  app: 18_105,
  /** The way of the daemon to its upstream; listed as the upstream's address. */
  appLink: 18_106,
  storeLink: 18_107,
};

/** Entry file of the real program. */
const PROGRAM = join(import.meta.dirname, '../platform/main.js');

/** One daemon as a process of its own. */
export class Daemon {
  /** Increases with each start. */
  boot = 0;
  /** Monotonic time of the newest unplanned disruption, ms. */
  disturbedAt = -Infinity;
  #child?: ChildProcess;
  #ended?: Promise<number | null>;
  readonly #log: WriteStream;

  constructor(
    readonly name: string,
    readonly host: string,
    private readonly dir: string,
    private readonly settings: object,
  ) {
    this.#log = createWriteStream(join(dir, `${name}.log`));
  }

  get running(): boolean {
    return this.#child !== undefined;
  }

  /** Starts the process unless another fault has started it already. */
  start(): void {
    if (this.#child) return;
    this.boot++;
    const file = join(this.dir, `${this.name}.json`);
    writeFileSync(file, JSON.stringify(this.settings));
    const child = spawn(process.execPath, [...process.execArgv, PROGRAM], {
      env: {...process.env, BERYLBEND_NODE_FILE: file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(this.#log, {end: false});
    child.stderr.pipe(this.#log, {end: false});
    this.#child = child;
    this.#ended = new Promise(resolve => {
      child.once('exit', code => {
        this.#child = undefined;
        resolve(code);
      });
    });
  }

  /** Sends a signal to the process that `start` created. */
  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  /** Resolves to the exit code; null after a fatal signal. */
  async ended(): Promise<number | null> {
    return (await this.#ended) ?? null;
  }
}

/** Settings file of a daemon, as the platform writes it. */
export function describeDaemon(
  name: string,
  host: string,
  zone: string,
  service: string,
  seeds: string[],
): object {
  const at = (port: number) => `${host}:${port}`;
  return {
    self: {
      node: name,
      ip: host,
      zone,
      service,
      app_addr: at(PORTS.appLink),
      limits: {memory_mb: 350},
    },
    network: {
      listen: {
        outbound: at(PORTS.customer),
        inbound: at(PORTS.peer),
        ready: at(PORTS.ready),
        control: at(PORTS.control),
      },
      seeds,
    },
    platform: {platform: {addr: at(PORTS.storeLink)}},
    terms: {
      bounds: {
        grace: '6s',
        budget_ratio: 0.2,
        budget_slack: 20,
        budget_window: '10s',
      },
    },
  };
}
