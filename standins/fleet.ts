import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  applyEntries,
  computeDigest,
  createConfigState,
  makePatch,
  settingsSchema,
  type Document,
  type MemberRecord,
  type Settings,
  type Version,
} from '../src/internal.js';
import {createConfigService, type ConfigService} from './config_service.js';
import {startDaemonProcess, type DaemonProcess} from './daemon_process.js';
import {createInstanceList, type InstanceList} from './instance_list.js';
import {createLedger, type Ledger} from './ledger.js';
import {findPort} from './ports.js';
import {
  createUpstream,
  type Upstream,
  type UpstreamOptions,
} from './upstream.js';

const POLL_MS = 50;
const STOP_TIMEOUT_MS = 8_000;

/** Description of an instance: an upstream and its local daemon. */
export interface InstanceSpec {
  id: string;
  service: string;
  dataCentre: string;
}

/** Options of a fleet. */
export interface FleetOptions {
  instances: readonly InstanceSpec[];
  document: Document;
  /** Upstream options; by default slots and connections are the service's. */
  upstream?: Partial<Omit<UpstreamOptions, 'id' | 'ledger'>>;
}

/** Running instance. */
export interface Instance extends InstanceSpec {
  readonly upstream: Upstream;
  daemon: DaemonProcess;
}

/** Parts of a daemon's `/status` response that the fleet uses. */
export interface DaemonStatus {
  version: {version: number; digest: string; confirmed: boolean} | null;
  viewStale: boolean;
  links: string[];
  /** Load of the local upstream, as the owner reports it. */
  upstream?: {limit: number; inFlight: number; cold: boolean};
  refusals: Array<{index: number; reason: string}>;
  members: Record<string, Record<string, string[]>>;
}

/** Stand-ins in this process, and one daemon process per upstream. */
export interface Fleet {
  readonly config: ConfigService;
  readonly instanceList: InstanceList;
  readonly ledger: Ledger;
  readonly instances: readonly Instance[];
  get(id: string): Instance;
  /** Returns the version that the published entries produce. */
  getVersion(): Version;
  /** Publishes an entry without validation. */
  publishEntry(kind: string, value: unknown): void;
  /** Publishes the difference between the newest version and a changed copy. */
  publishPatch(note: string, change: (document: Document) => void): Version;
  /** Waits for a condition, returns the time in ms; throws after `timeoutMs`. */
  waitFor(
    name: string,
    condition: () => boolean | Promise<boolean>,
    timeoutMs: number,
  ): Promise<number>;
  waitReady(timeoutMs: number): Promise<number>;
  /** Waits until every running daemon serves the newest version. */
  waitVersion(timeoutMs: number): Promise<number>;
  readStatus(id: string): Promise<DaemonStatus | undefined>;
  /** Starts a new daemon process with the settings of the previous one. */
  restart(id: string): void;
  /** Stops daemons and stand-ins; returns exit codes by instance id. */
  stop(): Promise<Record<string, number | string>>;
}

/** Starts the stand-ins and daemons without waiting for readiness. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const directory = mkdtempSync(join(tmpdir(), 'berylbend-'));
  const config = createConfigService();
  const instanceList = createInstanceList();
  const ledger = createLedger();
  const instances: Instance[] = [];
  // Result of applying all published entries; daemons should converge on it.
  const expectedState = createConfigState();

  // Kills the daemons if this process exits without calling stop().
  const cleanUp = () => {
    for (const {daemon} of instances) daemon.signal('SIGKILL');
    rmSync(directory, {recursive: true, force: true});
  };
  process.once('exit', cleanUp);

  async function start(): Promise<void> {
    const configUrl = await config.listen();
    const listUrl = await instanceList.listen();
    publishEntry('snapshot', {
      version: 1,
      digest: computeDigest(options.document),
      document: options.document,
      author: 'fleet',
      note: 'first version',
    });
    for (const spec of options.instances) {
      instances.push(await startInstance(spec, configUrl, listUrl));
    }
  }

  async function startInstance(
    spec: InstanceSpec,
    configUrl: string,
    listUrl: string,
  ): Promise<Instance> {
    const {slots, connections} = options.document.services[spec.service];
    const upstream = createUpstream({
      slots,
      connections,
      ...options.upstream,
      id: spec.id,
      ledger,
    });
    const url = await upstream.listen();
    const settings = settingsSchema.parse({
      ...spec,
      region: options.document.dataCentres[spec.dataCentre].region,
      listen: {
        customerPort: await findPort(),
        peerPort: await findPort(),
        adminPort: await findPort(),
      },
      upstream: {url},
      platform: {configUrl, listUrl, listEveryMs: 2_000},
      peerKey: 'shared-key-of-the-local-fleet',
    });
    instanceList.register(createRecord(settings));
    const daemon = startDaemonProcess(settings, directory);
    return {...spec, upstream, daemon};
  }

  function get(id: string): Instance {
    const found = instances.find(instance => instance.id === id);
    if (!found) throw new Error(`no instance ${id}`);
    return found;
  }

  function getVersion(): Version {
    if (!expectedState.current) throw new Error('first version was refused');
    return expectedState.current;
  }

  function publishEntry(kind: string, value: unknown): void {
    applyEntries(expectedState, [config.publish(kind, value)]);
  }

  function publishPatch(
    note: string,
    change: (document: Document) => void,
  ): Version {
    const next = structuredClone(getVersion().document);
    change(next);
    publishEntry('patch', makePatch(getVersion(), next, 'fleet', note));
    return getVersion();
  }

  async function waitFor(
    name: string,
    condition: () => boolean | Promise<boolean>,
    timeoutMs: number,
  ): Promise<number> {
    const startedAt = performance.now();
    while (!(await condition())) {
      const tookMs = performance.now() - startedAt;
      if (tookMs > timeoutMs) {
        throw new Error(`${name}: timed out after ${timeoutMs} ms`);
      }
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    return performance.now() - startedAt;
  }

  const listRunning = () => instances.filter(({daemon}) => daemon.isRunning());

  async function waitReady(timeoutMs: number): Promise<number> {
    return waitFor(
      'every daemon is ready',
      async () => {
        const ended = instances.find(({daemon}) => !daemon.isRunning());
        if (ended) {
          const lines = ended.daemon.readLog(5).join('\n');
          throw new Error(`daemon ${ended.id} exited:\n${lines}`);
        }
        const answers = await Promise.all(
          instances.map(({daemon}) => daemon.readAdmin('/ready')),
        );
        return answers.every(answer => answer?.status === 200);
      },
      timeoutMs,
    );
  }

  async function waitVersion(timeoutMs: number): Promise<number> {
    const {version: expected, digest} = getVersion();
    return waitFor(
      `version ${expected} is in force everywhere`,
      async () => {
        const all = await Promise.all(listRunning().map(i => readStatus(i.id)));
        return all.every(
          status =>
            status?.version?.version === expected &&
            status.version.digest === digest,
        );
      },
      timeoutMs,
    );
  }

  async function readStatus(id: string): Promise<DaemonStatus | undefined> {
    const answer = await get(id).daemon.readAdmin('/status');
    return answer && (JSON.parse(answer.text) as DaemonStatus);
  }

  function restart(id: string): void {
    const instance = get(id);
    const {settings} = instance.daemon;
    instance.daemon = startDaemonProcess(settings, directory);
  }

  async function stop(): Promise<Record<string, number | string>> {
    for (const {daemon} of instances) daemon.signal('SIGTERM');
    const timer = setTimeout(() => {
      for (const {daemon} of instances) daemon.signal('SIGKILL');
    }, STOP_TIMEOUT_MS);
    const codes = await Promise.all(
      instances.map(async ({id, daemon}) => [id, await daemon.exited]),
    );
    clearTimeout(timer);
    await Promise.all([
      config.close(),
      instanceList.close(),
      ...instances.map(({upstream}) => upstream.close()),
    ]);
    process.removeListener('exit', cleanUp);
    rmSync(directory, {recursive: true, force: true});
    return Object.fromEntries(codes) as Record<string, number | string>;
  }

  try {
    await start();
  } catch (err) {
    await stop();
    throw err;
  }
  return {
    config,
    instanceList,
    ledger,
    instances,
    get,
    getVersion,
    publishEntry,
    publishPatch,
    waitFor,
    waitReady,
    waitVersion,
    readStatus,
    restart,
    stop,
  };
}

function createRecord(settings: Settings): MemberRecord {
  const {id, dataCentre, region, service, listen} = settings;
  const {host, customerPort, peerPort} = listen;
  return {
    id,
    incarnation: 0,
    boot: '',
    dataCentre,
    region,
    service,
    host,
    customerPort,
    peerPort,
    state: 'live',
  };
}
