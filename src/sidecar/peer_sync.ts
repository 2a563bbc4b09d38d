import type {IncomingMessage, ServerResponse} from 'node:http';
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';
import {
  applyMirrorState,
  count,
  mirrorStateSchema,
  readMirror,
  type KeyChange,
  type StoreMirror,
} from '../internal.js';
import type {SidecarBoard} from './board.js';
import type {HttpClient} from './http_client.js';

/** Path at which a daemon tells others what it knows of the store. */
export const STATE_PATH = '/.well-known/berylbend/state';

/** Interval at which a daemon that cannot read the store asks a peer, ms. */
const ASK_MS = 400;

/** Time for the answer of a peer, ms. */
const ASK_TIMEOUT_MS = 350;

const statesSchema = z.array(mirrorStateSchema);

/** Answers with what is newer than the revisions in the query. */
export function serveState(
  board: SidecarBoard,
  req: IncomingMessage,
  res: ServerResponse,
): void {
  const query = new URLSearchParams((req.url ?? '').split('?')[1] ?? '');
  const states = board.mirrors.flatMap(mirror => {
    const after = Number(query.get(mirror.prefix) ?? -1);
    return readMirror(mirror, after) ?? [];
  });
  count(board, 'state_served');
  if (states.length === 0) {
    res.writeHead(204).end();
    return;
  }
  const body = pack(states);
  res.writeHead(200, {'content-length': body.length});
  res.end(body);
}

/** What the synchronisation with peers needs. */
export interface PeerSyncDeps {
  readonly board: SidecarBoard;
  readonly client: HttpClient;
  readonly onChanges: (mirror: StoreMirror, changes: KeyChange[]) => void;
}

/**
 * While this daemon cannot read the store, it asks a daemon that may: machines
 * are cut off from the store and not from each other, and a daemon that has
 * just started may come up during an outage. Returns the function to stop.
 */
export function startPeerSync(deps: PeerSyncDeps): () => void {
  let asking = false;
  const timer = setInterval(() => {
    if (asking || deps.board.lostSources.size === 0) return;
    asking = true;
    void askPeer(deps).finally(() => (asking = false));
  }, ASK_MS);
  return () => clearInterval(timer);
}

async function askPeer({
  board,
  client,
  onChanges,
}: PeerSyncDeps): Promise<void> {
  const address = pickPeer(board);
  if (!address) return;
  const query = new URLSearchParams();
  for (const {prefix, revision} of board.mirrors) {
    query.set(prefix, String(revision ?? -1));
  }
  const path = `${STATE_PATH}?${query.toString()}`;
  const request = {method: 'GET', path, headers: [], body: undefined};
  const call = client.send(`http://${address}`, request, board.now());
  const timer = setTimeout(() => call.abort(), ASK_TIMEOUT_MS);
  const result = await call.result;
  clearTimeout(timer);
  count(board, `peer_asked_${result.kind}`);
  if (result.kind !== 'answer' || result.answer.status !== 200) return;
  takeStates(board, address, result.answer.body, onChanges);
}

function takeStates(
  board: SidecarBoard,
  address: string,
  body: Buffer,
  onChanges: PeerSyncDeps['onChanges'],
): void {
  const parsed = statesSchema.safeParse(unpack(body));
  if (!parsed.success) {
    count(board, 'peer_state_malformed');
    board.log.write('notable', 'peerStateMalformed', {
      peer: address,
      reason: parsed.error.issues[0].message,
    });
    return;
  }
  for (const state of parsed.data) {
    const mirror = board.mirrors.find(item => item.prefix === state.prefix);
    if (!mirror) continue;
    const before = mirror.revision;
    const changes = applyMirrorState(mirror, state);
    if (mirror.revision === before) continue;
    board.log.write('notable', 'learnedFromPeer', {
      peer: address,
      source: state.prefix,
      revision: mirror.revision,
      before,
      changes: changes.length,
    });
    onChanges(mirror, changes);
  }
}

/**
 * Address of a daemon to ask, at random: another data centre often still
 * reaches the store when the own one does not.
 */
function pickPeer(board: SidecarBoard): string | undefined {
  const {settings, list, random} = board;
  const own = `${settings.host}:`;
  const listed = [...list.byId.values()].map(
    item => `${item.host}:${settings.peerPort}`,
  );
  const addresses = listed.length > 1 ? listed : settings.seeds;
  const peers = addresses.filter(address => !address.startsWith(own));
  return peers[Math.floor(random() * peers.length)];
}
