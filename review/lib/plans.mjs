// Deployments like those of the site file palok-mesh: 10 machines in 3 zones.

export const ZONES = ['howrah', 'salt-lake', 'barasat'];

/** Services with the slots and the mean work of the site file. */
export const SERVICES = {
  'x-catalogue': {slots: 12, workMs: 160},
  'x-dyehouse': {slots: 12, workMs: 210},
  'x-tradedesk': {slots: 12, workMs: 130},
};

const NAMES = Object.keys(SERVICES);

/** Machine i is in zone i mod 3; each zone has backends of each service. */
export const MACHINES = Array.from({length: 10}, (_, i) => {
  const nth = i % 3;
  return {zone: ZONES[nth], service: NAMES[(nth + Math.floor(i / 3)) % 3]};
});

/** Time budget of a booking, ms (dye-booking). */
export const BOOKING_BUDGET_MS = 2_500;

/** Host of all routes. */
export const HOST = 'dye.example';

/** Route of bookings, which may run once. */
export const BOOKING_ROUTE = {
  name: 'r-book',
  host: HOST,
  path_prefix: '/book/',
  kind: 'non_idempotent',
  timeout: `${BOOKING_BUDGET_MS}ms`,
  goal: '600ms',
  priority: 1,
  service: 'x-dyehouse',
  attempts: 2,
};
