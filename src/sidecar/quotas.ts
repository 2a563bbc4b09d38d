import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import * as z from 'zod';
import {
  type MeshOrganisation,
  type Outcome,
  type Places,
  type QuotaDaemon,
  type QuotaDecision,
  type QuotaMessage,
  type QuotaReply,
  type RouteTable,
  MAX_QUOTA_ITEMS,
  OUTCOMES,
  QUOTA_ASK_TIMEOUT_MS,
  answerQuotaMessage,
  count,
  createQuotaDaemon,
  giveBackQuota,
  listUpstreams,
  pruneQuotas,
  refreshQuotaPlaces,
  setReplyTimeout,
  takeQuota,
} from '../internal.js';
import type {SidecarBoard} from './board.js';
import type {LineFields} from './decision_log.js';
import type {EntryState, Exchange} from './exchange.js';
import {type HttpClient, createHttpClient} from './http_client.js';

/** Path at which a daemon is asked for tokens of organisations. */
export const QUOTA_PATH = '/.well-known/berylbend/quotas';

/** Longest time for which a request waits for a token, ms: an ask to a silent home
 * and one to the daemon that stands in. */
const MAX_TOKEN_WAIT_MS = 300;

/** Part of the time to its goal for which a request waits for a token. */
const TOKEN_WAIT_SHARE = 0.25;

/** Connections to one daemon: an ask and a probe. */
const MAX_CONNECTIONS = 2;

/** Idle time after which a connection is closed, ms. */
const KEEP_ALIVE_MS = 10_000;

/** Characters that tell processes of one daemon apart. */
const BOOT_LENGTH = 6;

const NAME = z.string().min(1).max(200);
const TOKENS = z.int().min(0).max(1e9);

/** Schema of an ask for tokens. Lists without names, as most requests of a small
 * organisation cause an ask, which may cross data centres. */
const messageSchema = z.tuple([
  /** Host and process of the sender. */
  NAME,
  NAME,
  /** Number of the ask. */
  z.int().min(0),
  /** True while the sender stands in for the receiver. */
  z.boolean(),
  /** Organisation, tokens held and given back, waiting requests, requests per
   * second. */
  z
    .array(z.tuple([NAME, TOKENS, TOKENS, TOKENS, z.number().min(0).max(1e9)]))
    .max(MAX_QUOTA_ITEMS),
]);

const WAIT_MS = z.number().min(0).max(60_000);

/** Schema of the answer: by item, tokens granted, time until the next ask and life of
 * the tokens, ms. */
const replySchema = z
  .array(z.tuple([TOKENS, WAIT_MS, WAIT_MS]).nullable())
  .max(MAX_QUOTA_ITEMS);

/** Formats an ask. */
export function formatQuotaMessage(message: QuotaMessage): string {
  const {host, boot, seq, standsIn} = message;
  const items = message.items.map(({name, held, returned, need, perS}) => {
    return [name, held, returned, need, perS];
  });
  return JSON.stringify([host, boot, seq, standsIn, items]);
}

/** Parses an ask; undefined when it is malformed. */
export function parseQuotaMessage(text: string): QuotaMessage | undefined {
  const parsed = messageSchema.safeParse(parseJson(text));
  if (!parsed.success) return undefined;
  const [host, boot, seq, standsIn, list] = parsed.data;
  const items = list.map(([name, held, returned, need, perS]) => {
    return {name, held, returned, need, perS};
  });
  return {host, boot, seq, standsIn, items};
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function formatReply(reply: QuotaReply): string {
  return JSON.stringify(
    reply.map(grant => {
      if (!grant) return null;
      return [grant.granted, Math.ceil(grant.waitMs), grant.lifeMs];
    }),
  );
}

function parseReply(text: string): QuotaReply {
  return replySchema.parse(JSON.parse(text)).map(item => {
    if (!item) return null;
    const [granted, waitMs, lifeMs] = item;
    return {granted, waitMs, lifeMs};
  });
}

/** Creates the client for asks. */
export function createQuotaClient(): HttpClient {
  return createHttpClient({
    connections: MAX_CONNECTIONS,
    connectTimeoutMs: QUOTA_ASK_TIMEOUT_MS,
    keepAliveMs: KEEP_ALIVE_MS,
  });
}

/** Creates the quotas of a daemon. */
export function createSidecarQuotas(
  board: SidecarBoard,
  client: HttpClient,
): QuotaDaemon {
  const {settings, now, random} = board;
  const readPlaces = createPlaces(board);
  const findOrganisation = createFinder(board);
  return createQuotaDaemon({
    host: settings.host,
    dataCentre: settings.dataCentre,
    boot: randomUUID().slice(0, BOOT_LENGTH),
    now,
    random,
    later(ms, run) {
      if (ms <= 0) setImmediate(run);
      else setTimeout(run, Math.ceil(ms)).unref();
    },
    send(host, message, done) {
      void send(board, client, host, message).then(done);
    },
    readPlaces,
    findTerms(name) {
      const terms = findOrganisation(name);
      return terms && terms.ratePerS > 0 ? terms : undefined;
    },
  });
}

/** Applies changes of the list and of the configuration to the quotas. */
export function refreshQuotas({quotas, table}: SidecarBoard): void {
  if (!quotas || !table?.keys) return;
  refreshQuotaPlaces(quotas);
  pruneQuotas(quotas);
}

/** Data centre of each daemon; a new object only when one was added, removed or
 * moved, as a changed order of homes costs tokens. */
function createPlaces({list}: SidecarBoard): () => Places {
  let version = -1;
  let key = '';
  let places: Places = new Map();
  return () => {
    if (list.version === version) return places;
    version = list.version;
    const next = new Map(
      listUpstreams(list).map(({host, dataCentre}) => [host, dataCentre]),
    );
    const nextKey = [...next].map(String).sort().join(' ');
    if (nextKey === key) return places;
    key = nextKey;
    places = next;
    return places;
  };
}

/** Finds organisations by name in the configuration in force. */
function createFinder(
  board: SidecarBoard,
): (name: string) => MeshOrganisation | undefined {
  let table: RouteTable | undefined;
  let byName = new Map<string, MeshOrganisation>();
  return name => {
    if (board.table !== table) {
      table = board.table;
      const organisations = table?.config.organisations ?? [];
      byName = new Map(organisations.map(item => [item.name, item]));
    }
    return byName.get(name);
  };
}

async function send(
  board: SidecarBoard,
  client: HttpClient,
  host: string,
  message: QuotaMessage,
): Promise<QuotaReply | undefined> {
  count(board, message.items.length > 0 ? 'quota_asks' : 'quota_probes');
  const call = client.send(
    `http://${host}:${board.settings.peerPort}`,
    {
      method: 'POST',
      path: QUOTA_PATH,
      headers: [],
      body: Buffer.from(formatQuotaMessage(message)),
    },
    board.now(),
  );
  const cancelTimeout = setReplyTimeout(
    () => call.abort(),
    QUOTA_ASK_TIMEOUT_MS,
  );
  const result = await call.result;
  cancelTimeout();
  if (result.kind !== 'answer' || result.answer.status !== 200) {
    count(board, 'quota_unanswered');
    return undefined;
  }
  try {
    return parseReply(result.answer.body.toString());
  } catch (err) {
    count(board, 'quota_malformed');
    const reason = (err as Error).message.slice(0, 200);
    board.log.write('notable', 'quotaReplyMalformed', {host, reason});
    return undefined;
  }
}

/** Answers an ask of another daemon. */
export function serveQuotaAsk(
  {quotas}: SidecarBoard,
  body: Buffer | undefined,
  res: ServerResponse,
): void {
  const message = parseQuotaMessage(body?.toString() ?? '');
  if (!message || !quotas) {
    res.writeHead(400).end();
    return;
  }
  const reply = formatReply(answerQuotaMessage(quotas, message));
  // Headers that no daemon reads would be longer than the answer.
  res.sendDate = false;
  res.removeHeader('connection');
  res.writeHead(200, {'content-length': Buffer.byteLength(reply)}).end(reply);
}

/** Takes a token for the request of an organisation with a quota. Returns at once
 * unless a daemon has to be asked for one. */
export function checkQuota(
  {board}: EntryState,
  exchange: Exchange,
): Outcome | undefined | Promise<Outcome | undefined> {
  const {organisation, route} = exchange;
  const {quotas} = board;
  if (!organisation || !quotas || !(organisation.ratePerS > 0)) {
    return undefined;
  }
  // Routes that need no key have no quota, whether a key was sent or not.
  if (route?.public) return undefined;
  const leftMs = exchange.goalAt - board.now();
  const waitMs = Math.max(
    0,
    Math.min(MAX_TOKEN_WAIT_MS, leftMs * TOKEN_WAIT_SHARE),
  );
  return new Promise<Outcome | undefined>(resolve => {
    const decision = takeQuota(quotas, organisation, waitMs, later => {
      resolve(applyDecision(board, exchange, later));
    });
    if (decision) resolve(applyDecision(board, exchange, decision));
  });
}

function applyDecision(
  board: SidecarBoard,
  exchange: Exchange,
  decision: QuotaDecision,
): Outcome | undefined {
  exchange.quota = decision;
  if (decision.granted) {
    // The customer may have left while the request waited for the token.
    if (exchange.ended) returnToken(board, exchange);
    return undefined;
  }
  exchange.retryAfterMs = decision.waitMs;
  return 'overQuota';
}

/** Returns the token of a request that ends without having reached an upstream. */
export function returnUnusedToken(
  board: SidecarBoard,
  exchange: Exchange,
  outcome: Outcome,
): void {
  const notRun = OUTCOMES[outcome].verdict === 'notRun';
  if (notRun && exchange.attempts === 0) returnToken(board, exchange);
}

function returnToken({quotas}: SidecarBoard, exchange: Exchange): void {
  const {organisation, quota} = exchange;
  if (!quotas || !organisation || !quota?.granted) return;
  exchange.quota = undefined;
  giveBackQuota(quotas, organisation.name);
}

/** Fields of the log line of a request that was refused for its quota. */
export function describeQuota({organisation, quota}: Exchange): LineFields {
  if (!organisation || !quota || quota.granted) return {};
  return {
    quotaPerS: organisation.ratePerS,
    quotaBurst: organisation.burst,
    allowance: quota.tokens,
    granter: quota.granter,
    allowanceAgeMs: Math.round(Math.min(quota.ageMs, 1e6)),
    retryAfterMs: Math.round(quota.waitMs),
  };
}
