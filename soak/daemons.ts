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
  /** Fault proxy to the upstream; published as the upstream's address. */
  appProxy: 18_106,
  /** Fault proxy to the store. */
  storeProxy: 18_107,
};

/** Time after a disruption in which a daemon may fail to answer, ms. */
export const RECOVERY_MS = 3_000;

/** Entry file of the daemon. */
const ENTRY_FILE = join(import.meta.dirname, '../platform/main.js');

/** Module that handles SIGHUP before the program is loaded, as the deployed
 * program does. */
const IGNORE_SIGHUP = 'data:text/javascript,process.on("SIGHUP",()=>{})';

/** A daemon in its own process. */
export class Daemon {
  /** Increases with each start. */
  incarnation = 0;
  /** Monotonic time of the latest unplanned disruption, ms. */
  disruptedAt = -Infinity;
  #child?: ChildProcess;
  #exit?: Promise<number | null>;
  /** Called when the process ends without a fatal signal or SIGTERM. */
  onOwnEnd: (code: number | null) => void = () => {};
  isStopping = false;
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

  /** True while a disruption lasts or was a short time ago. */
  isDisrupted(now: number): boolean {
    return now - this.disruptedAt <= RECOVERY_MS;
  }

  /** Starts the process unless another fault's recovery already did. */
  start(): void {
    if (this.#child) return;
    this.incarnation++;
    const file = join(this.dir, `${this.name}.json`);
    writeFileSync(file, JSON.stringify(this.settings));
    const args = [...process.execArgv, '--import', IGNORE_SIGHUP, ENTRY_FILE];
    const child = spawn(process.execPath, args, {
      env: {...process.env, BERYLBEND_NODE_FILE: file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(this.#log, {end: false});
    child.stderr.pipe(this.#log, {end: false});
    this.#child = child;
    this.isStopping = false;
    this.#exit = new Promise(resolve => {
      child.once('exit', code => {
        this.#child = undefined;
        resolve(code);
        if (!this.isStopping) this.onOwnEnd(code);
      });
    });
  }

  /** Sends a signal to the process if it runs. */
  signal(name: NodeJS.Signals): void {
    if (name === 'SIGTERM' || name === 'SIGKILL') this.isStopping = true;
    this.#child?.kill(name);
  }

  /** Resolves to the exit code, or null after a fatal signal. */
  async waitForExit(): Promise<number | null> {
    return (await this.#exit) ?? null;
  }
}

/** Creates the settings file of a daemon as the platform writes it. */
export function createDaemonSettings(
  name: string,
  host: string,
  zone: string,
  service: string,
  seeds: string[],
): object {
  const formatAddress = (port: number) => `${host}:${port}`;
  return {
    self: {
      node: name,
      ip: host,
      zone,
      service,
      app_addr: formatAddress(PORTS.appProxy),
      limits: {memory_mb: 350},
    },
    network: {
      listen: {
        outbound: formatAddress(PORTS.customer),
        inbound: formatAddress(PORTS.peer),
        ready: formatAddress(PORTS.ready),
        control: formatAddress(PORTS.control),
      },
      seeds,
    },
    platform: {platform: {addr: formatAddress(PORTS.storeProxy)}},
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
