import type {KeyValueStore, StoreEvent} from '../../src/internal.js';

export const HEARTBEAT_MS = 1_500;

/** Time without a heartbeat after which the store removes an entry, ms. */
const LEASE_MS = 3 * HEARTBEAT_MS;

/** Time from a drill until the operator has written again, ms. */
const REWRITE_MS = 1_000;

/** Time for which an upstream is cold after its start, ms. */
const COLD_MS = 4_000;

const PAGE_SIZE = 2;

export const ZONES = ['z1', 'z2'];

/** An upstream that writes its entry until it ends. */
interface Writer {
  readonly id: string;
  born: number;
  state: 'ready' | 'draining' | 'ended';
  sequence: number;
  coldUntil: number;
  wroteAt: number;
}

/** A store that may come back older, with those who write to it; it answers calls
 * at once. */
export class EraStore {
  now = 0;
  era = 0;
  drilledAt = -Infinity;
  history: StoreEvent[] = [];
  items = new Map<string, StoreEvent & {value: Buffer}>();
  /** Change that comes between two pages of the next full read. */
  betweenPages?: () => void;
  version = 0;
  content = 0;
  readonly out = new Set<string>();
  readonly writers: Writer[] = ['u0', 'u1', 'u2'].map(id => {
    return {id, born: 1, state: 'ready', sequence: 0, coldUntil: 0, wroteAt: 0};
  });

  constructor() {
    this.publish();
    for (const writer of this.writers) this.beat(writer);
  }

  put(key: string, value: object | undefined): void {
    const revision = (this.history.at(-1)?.revision ?? 0) + 1;
    const bytes = value && Buffer.from(JSON.stringify(value));
    const created = this.items.get(key)?.created ?? revision;
    if (bytes) this.items.set(key, {key, value: bytes, revision, created});
    else if (!this.items.delete(key)) return;
    this.history.push(this.items.get(key) ?? {key, revision});
  }

  publish(): void {
    this.version++;
    this.content++;
    this.writeConfig();
  }

  writeConfig(): void {
    this.put('op/config', {
      version: this.version.toString(16).padStart(8, '0'),
      routes: [
        {
          ...{
            name: `c${this.content}`,
            host: 'h',
            path_prefix: '/',
            goal: '1s',
          },
          ...{kind: 'idempotent', timeout: '1s', service: 's'},
        },
      ],
      services: [{name: 's', health_path: '/', max_conns: 1}],
      limits: {
        ...{max_header_bytes: 1_000, max_body_bytes: 1_000},
        ...{header_timeout: '1s', idle_timeout: '1s'},
      },
    });
  }

  beat(writer: Writer): void {
    const {id, born, state, coldUntil} = writer;
    if (state === 'ended') return;
    writer.wroteAt = this.now;
    this.put(`servers/${id}`, {
      addr: `10.0.0.${1 + this.writers.indexOf(writer)}:80`,
      born,
      info: {service: 's', version: 'v', zone: 'z1', slots: 1},
      status: {
        ...{state, sequence: ++writer.sequence},
        cold_left: `${Math.max(0, coldUntil - this.now)}ms`,
      },
    });
  }

  drain(writer: Writer): void {
    if (writer.state !== 'ready') return;
    writer.state = 'draining';
    this.beat(writer);
  }

  end(writer: Writer): void {
    writer.state = 'ended';
    this.put(`servers/${writer.id}`, undefined);
  }

  start(writer: Writer): void {
    if (writer.state !== 'ended') return;
    writer.born++;
    writer.state = 'ready';
    this.turnCold(writer);
  }

  turnCold(writer: Writer): void {
    writer.coldUntil = this.now + COLD_MS;
    this.beat(writer);
  }

  /** Comes back without the latest writes, in the next era. */
  drill(lostWrites: number): void {
    this.history = this.history.slice(0, this.history.length - lostWrites);
    this.items.clear();
    for (const {value, ...event} of this.history) {
      if (value) this.items.set(event.key, {...event, value});
      else this.items.delete(event.key);
    }
    this.era++;
    this.drilledAt = this.now;
  }

  /** The operator writes again what is lost, a version with other content. */
  rewrite(): void {
    const config = this.items.get('op/config')?.value.toString() ?? '';
    if (!config.includes(`"c${this.content}"`)) {
      this.content++;
      this.writeConfig();
    }
    for (const zone of ZONES) {
      const key = `op/evacuate/${zone}`;
      if (this.out.has(zone) === this.items.has(key)) continue;
      this.put(key, this.out.has(zone) ? {} : undefined);
    }
  }

  /** Lets time pass; upstreams renew their entries, the operator writes again. */
  pass(ms: number): void {
    this.now += ms;
    if (this.now - this.drilledAt >= REWRITE_MS) this.rewrite();
    for (const writer of this.writers) {
      const {id, state, wroteAt} = writer;
      if (state !== 'ended') {
        if (this.now - wroteAt >= HEARTBEAT_MS) this.beat(writer);
      } else if (this.now - Math.max(wroteAt, this.drilledAt) >= LEASE_MS) {
        this.put(`servers/${id}`, undefined);
      }
    }
  }

  readonly store: KeyValueStore = {
    readPage: (_prefix, after = '') => {
      if (after !== '') this.betweenPages?.();
      this.betweenPages = undefined;
      const keys = [...this.items.keys()].filter(key => key > after).sort();
      const items = keys
        .slice(0, PAGE_SIZE)
        .flatMap(key => this.items.get(key) ?? []);
      const more = keys.length > PAGE_SIZE;
      return Promise.resolve({items, more, ...this.#position()});
    },
    watch: (_prefix, after) => {
      const position = this.#position();
      if (after > position.revision) {
        return Promise.resolve({era: this.era});
      }
      const events = this.history.filter(({revision}) => revision > after);
      return Promise.resolve({events, ...position});
    },
    close: () => Promise.resolve(),
  };

  #position() {
    const {era} = this;
    const revision = this.history.at(-1)?.revision ?? 0;
    return era > 0 ? {era, revision} : {revision};
  }

  /** What all daemons shall believe in the end. */
  describe(): object {
    const upstreams = this.writers
      .filter(({state}) => state !== 'ended')
      .map(({id, born, state}) => `${id} ${born} ${state === 'ready'}`);
    const {version, content, out} = this;
    return {version, route: `c${content}`, out: [...out].sort(), upstreams};
  }
}
