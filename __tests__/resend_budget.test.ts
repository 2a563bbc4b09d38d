import test from 'ava';
import {
  createResendBudget,
  createRandom,
  creditRequest,
  spendResend,
} from '../src/internal.js';

// All daemons together must stay within ratio x requests + slack in any window,
// without coordination.
test('the resends of all daemons stay within the bound', t => {
  const bounds = {ratio: 0.2, slack: 56};
  for (const daemons of [1, 10, 80]) {
    const random = createRandom(daemons);
    const budgets = Array.from({length: daemons}, () =>
      createResendBudget(bounds),
    );
    let requests = 0;
    let resends = 0;
    for (let i = 0; i < 2_000; i++) {
      const budget = budgets[Math.floor(random() * daemons)];
      creditRequest(budget, 's', daemons);
      requests++;
      while (spendResend(budget, 's')) resends++;
    }
    const bound = bounds.ratio * requests + bounds.slack;
    t.true(resends <= bound, `${daemons} daemons: ${resends} of ${bound}`);
  }
});

test('a budget that was never credited allows no resend', t => {
  t.false(spendResend(createResendBudget({ratio: 0.2, slack: 56}), 's'));
});

test('unused credit does not accumulate beyond the slack', t => {
  const budget = createResendBudget({ratio: 0.2, slack: 10});
  for (let i = 0; i < 1_000; i++) creditRequest(budget, 's', 1);
  let resends = 0;
  while (spendResend(budget, 's')) resends++;
  t.true(resends <= 10);
});

// A resent status read repeats its own calls, which count as repeats at the
// called service: 1,023 in 10 s, where 906 were allowed.
test('the bound includes the calls that resent requests repeat', t => {
  const bounds = {ratio: 0.2, slack: 62};
  const daemons = 12;
  const callsPerRequest = 1.4;
  const random = createRandom(3);
  const budgets = Array.from({length: daemons}, () =>
    createResendBudget(bounds),
  );
  let requests = 0;
  let repeats = 0;
  const request = (service: string): number => {
    const budget = budgets[Math.floor(random() * daemons)];
    creditRequest(budget, service, daemons);
    let resends = 0;
    while (spendResend(budget, service)) resends++;
    return resends;
  };
  for (let i = 0; i < 2_500; i++) {
    repeats += request('caller') * callsPerRequest;
    requests += callsPerRequest;
    for (let call = random() < 0.4 ? 1 : 2; call > 0; call--) {
      repeats += request('called');
    }
  }
  const bound = bounds.ratio * requests + bounds.slack;
  t.true(repeats <= bound, `${repeats} of ${bound}`);
});
