import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Agent, request} from 'undici';
import {FORWARD_PREFIX, HEADERS, sign, type Board} from '../internal.js';
import {readBody, sendRefusal} from './http.js';

/** Creates the handler of customer requests. */
export function createEntry(deps: {board: Board; peerKey: string}) {
  const agent = new Agent({pipelining: 1});
  return async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const id = randomUUID();
    const url = req.url ?? '/';
    const routes = Object.entries(
      deps.board.config.inForce?.document.routes ?? {},
    );
    const match = routes.find(([, item]) => url.startsWith(item.pathPrefix));
    if (!match) return sendRefusal(res, 'unknownRoute', id);
    const [name, route] = match;
    const members = [...deps.board.members.byId.values()]
      .map(member => member.record)
      .concat(deps.board.self)
      .filter(record => record.service === route.service);
    if (members.length === 0) return sendRefusal(res, 'noUpstream', id);
    const owner = members[Math.floor(deps.board.random() * members.length)];
    const body = await readBody(req);
    try {
      const answer = await request(
        `http://${owner.host}:${owner.peerPort}${FORWARD_PREFIX}${url}`,
        {
          dispatcher: agent,
          method: req.method as 'GET',
          body: body && body.length > 0 ? body : null,
          headers: {
            [HEADERS.id]: id,
            [HEADERS.deadlineMs]: '5000',
            [HEADERS.depth]: '1',
            [HEADERS.budget]: '0',
            [HEADERS.route]: name,
            [HEADERS.priority]: route.priority,
            [HEADERS.fingerprint]: '0123456789abcdef',
            [HEADERS.auth]: sign(
              deps.peerKey,
              id,
              name,
              '0123456789abcdef',
              '',
              '5000',
            ),
          },
        },
      );
      res.writeHead(answer.statusCode, {
        [HEADERS.id]: id,
        [HEADERS.verdict]: String(answer.headers[HEADERS.verdict]),
        'berylbend-upstream': owner.id,
      });
      answer.body.pipe(res);
    } catch {
      sendRefusal(res, 'connectionBroken', id);
    }
  };
}
