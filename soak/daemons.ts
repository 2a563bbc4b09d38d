import {type ChildProcess, spawn} from 'node:child_process';
import {
  createWriteStream,
  renameSync,
  rmSync,
  type WriteStream,
  writeFileSync,
} from 'node:fs';
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
  /** Fixed by the deploy file. */
  metrics: 9_464,
};

/** Time after a disruption in which a daemon may fail to answer, ms. */
export const RECOVERY_MS = 3_000;

/** States of a settings file that is being written. */
export type FileState = 'whole' | 'empty' | 'cut' | 'absent' | 'null';

const FILE_TEXTS: Record<FileState, (whole: string) => string | undefined> = {
  whole: text => text,
  empty: () => '',
  cut: text => text.slice(0, text.length / 2),
  absent: () => undefined,
  null: () => 'null',
};

/** End of a process: its exit code or the signal that ended it. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A daemon in its own process. */
export class Daemon {
  /** Increases with each start. */
  incarnation = 0;
  /** Monotonic time of the latest unplanned disruption, ms. */
  disruptedAt = -Infinity;
  #child?: ChildProcess;
  #exit?: Promise<void>;
  #loaderStart?: Promise<void>;
  #isKilled = false;
  #fileState: FileState = 'whole';
  /** Called when the process ends otherwise than the soak asked for: SIGTERM must
   * lead to exit code 0. */
  onOwnEnd: (end: ProcessEnd) => void = () => {};
  isStopping = false;
  readonly #file: string;
  readonly #log: WriteStream;

  constructor(
    readonly name: string,
    readonly host: string,
    dir: string,
    private settings: object,
    /** Arguments of Node, of which the loader reports its begin on a pipe. */
    private readonly programArgs: readonly string[],
  ) {
    this.#file = join(dir, `${name}.json`);
    this.#log = createWriteStream(join(dir, `${name}.log`));
  }

  get running(): boolean {
    return this.#child !== undefined;
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** True while a disruption lasts or was a short time ago. */
  isDisrupted(now: number): boolean {
    return now - this.disruptedAt <= RECOVERY_MS;
  }

  /** Starts the process unless another fault's recovery already did. */
  start(): void {
    if (this.#child) return;
    this.incarnation++;
    this.writeSettings(this.#fileState);
    const child = spawn(process.execPath, this.programArgs, {
      env: {...process.env, BERYLBEND_NODE_FILE: this.#file},
      stdio: ['ignore', 'pipe', 'pipe', 'pipe'],
    });
    child.stdout?.pipe(this.#log, {end: false});
    child.stderr?.pipe(this.#log, {end: false});
    this.#child = child;
    this.isStopping = false;
    this.#isKilled = false;
    this.#loaderStart = new Promise(resolve => {
      child.stdio[3]?.once('data', () => resolve());
      child.once('exit', () => resolve());
    });
    this.#exit = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        this.#child = undefined;
        resolve();
        const isKilled = this.#isKilled && signal === 'SIGKILL';
        const isStopped = this.isStopping && code === 0;
        if (!isKilled && !isStopped) this.onOwnEnd({code, signal});
      });
    });
  }

  /** Writes the settings file in place, in this state also at the next starts. */
  writeSettings(state: FileState): void {
    this.#fileState = state;
    const text = FILE_TEXTS[state](JSON.stringify(this.settings));
    if (text === undefined) rmSync(this.#file, {force: true});
    else writeFileSync(this.#file, text);
  }

  /** Changes fields of `self` without a signal, in place or by another file; false
   * while the file is not whole. */
  changeSettings(change: object, inPlace: boolean): boolean {
    if (this.#fileState !== 'whole') return false;
    const {self} = this.settings as {self: object};
    this.settings = {...this.settings, self: {...self, ...change}};
    if (inPlace) this.writeSettings('whole');
    else {
      writeFileSync(`${this.#file}.new`, JSON.stringify(this.settings));
      renameSync(`${this.#file}.new`, this.#file);
    }
    return true;
  }

  /** Sends a signal to the process if it runs. Signals that the program handles
   * wait until its loader has started. */
  signal(name: NodeJS.Signals): void {
    const child = this.#child;
    if (!child) return;
    if (name === 'SIGKILL') this.#isKilled = true;
    if (name === 'SIGTERM' || name === 'SIGKILL') this.isStopping = true;
    if (name === 'SIGTERM' || name === 'SIGHUP') {
      void this.#loaderStart?.then(() => child.kill(name));
    } else {
      child.kill(name);
    }
  }

  /** Resolves when the loader of the program has started, or the process ended. */
  async waitForLoader(): Promise<void> {
    await this.#loaderStart;
  }

  /** Resolves when the process has ended. */
  async waitForExit(): Promise<void> {
    await this.#exit;
  }
}

/** Limit of the memory of a daemon, MB, as in the settings; the smallest of the
 * users' sites. */
export const MEMORY_MB = 250;

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
      limits: {memory_mb: MEMORY_MB},
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
