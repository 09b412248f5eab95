import {test} from 'node:test';
import {expect} from 'earl';
import {LimitedDeployment} from '../simulation/limited_deployment.js';
import {LIMIT_RULE} from './limit_rule.js';

const {WINDOW_MS, IN_FORCE_MS, allowed} = LIMIT_RULE;

test('gateways together send a server no more than the request rate it names', async () => {
  const deployment = new LimitedDeployment({
    gateways: 5,
    limits: [1, 1.1, undefined, undefined],
  });
  deployment.sendEvenly(20, {from: 0, to: 20_000}, i => ({gateway: i % 5}));
  await deployment.clock.runUntil(24_000);
  const most = deployment.servers.map(server =>
    server.mostInWindow(WINDOW_MS, IN_FORCE_MS),
  );
  expect(most[0] ?? 0).toBeLessThanOrEqual(allowed(1));
  expect(most[1] ?? 0).toBeLessThanOrEqual(allowed(1.1));
  expect(deployment.outcomes.map(({result}) => result)).toEqual(
    deployment.outcomes.map(() => 'answered' as const),
  );
});

test('what is saved up while nobody sends does not come at once from all gateways', async () => {
  const deployment = new LimitedDeployment({gateways: 31, limits: [1]});
  deployment.send({gateway: 0});
  deployment.at(20_000, () =>
    Array.from({length: 31}, (_, gateway) => deployment.send({gateway})),
  );
  await deployment.clock.runUntil(30_000);
  const [server] = deployment.servers;
  expect(server?.mostInWindow(WINDOW_MS, IN_FORCE_MS) ?? 0).toBeLessThanOrEqual(
    allowed(1),
  );
  expect(server?.arrivedBetween(20_000, 30_000) ?? 0).toBeGreaterThan(0);
});

test('a limit that falls, rises and ends is followed by all gateways', async () => {
  const deployment = new LimitedDeployment({gateways: 5, limits: [10]});
  const [server] = deployment.servers;
  deployment.sendEvenly(100, {from: 0, to: 40_000}, i => ({gateway: i % 5}));
  deployment.at(10_000, () => server?.setLimit(1));
  deployment.at(20_000, () => server?.setLimit(5));
  deployment.at(30_000, () => server?.setLimit(undefined));
  await deployment.clock.runUntil(44_000);
  const between = (from: number, to: number) =>
    server?.arrivedBetween(from, to) ?? 0;
  expect(between(6_000, 10_000)).toBeLessThanOrEqual(allowed(10));
  expect(between(14_000, 18_000)).toBeLessThanOrEqual(allowed(1));
  expect(between(24_000, 28_000)).toBeLessThanOrEqual(allowed(5));
  expect(between(24_000, 28_000)).toBeGreaterThanOrEqual(16);
  expect(between(34_000, 38_000)).toBeGreaterThanOrEqual(380);
});

[true, false].forEach(namesInChecks => {
  const where = namesInChecks ? 'also when it is asked' : 'only in responses';
  test(`a limit of 0 that is named ${where} holds, and its end is learned`, async () => {
    const limits = [5];
    const options = {gateways: 5, limits, namesInChecks};
    const deployment = new LimitedDeployment(options);
    const [server] = deployment.servers;
    deployment.sendEvenly(20, {from: 0, to: 60_000}, i => ({gateway: i % 5}));
    deployment.at(4_000, () => server?.setLimit(0));
    deployment.at(30_000, () => server?.setLimit(undefined));
    await deployment.clock.runUntil(64_000);
    const most = server?.arrivedBetween(7_000, 30_000) ?? 0;
    expect(most).toBeLessThanOrEqual(namesInChecks ? 0 : 3);
    expect(server?.arrivedBetween(45_000, 60_000) ?? 0).toBeGreaterThan(250);
  });
});

test('a new process of a server has no limit', async () => {
  const deployment = new LimitedDeployment({gateways: 3, limits: [1]});
  const [server] = deployment.servers;
  deployment.sendEvenly(20, {from: 0, to: 20_000}, i => ({gateway: i % 3}));
  deployment.at(10_000, () => {
    server?.restart();
    deployment.publishServers();
  });
  await deployment.clock.runUntil(24_000);
  expect(server?.arrivedBetween(12_000, 20_000) ?? 0).toBeGreaterThan(150);
});

test('a gateway that is cut off for a minute does not double the rate', async () => {
  const deployment = new LimitedDeployment({gateways: 3, limits: [10]});
  const [server] = deployment.servers;
  deployment.sendEvenly(60, {from: 0, to: 70_000}, i => ({gateway: i % 3}));
  deployment.at(5_000, () => deployment.setCut(0, true));
  deployment.at(65_000, () => deployment.setCut(0, false));
  await deployment.clock.runUntil(74_000);
  expect(server?.mostInWindow(WINDOW_MS, IN_FORCE_MS) ?? 0).toBeLessThanOrEqual(
    allowed(10),
  );
  expect(server?.arrivedBetween(10_000, 65_000) ?? 0).toBeGreaterThan(440);
});

test('gateways that restart in turn keep a limit together', async () => {
  const deployment = new LimitedDeployment({gateways: 5, limits: [10]});
  const [server] = deployment.servers;
  deployment.sendEvenly(60, {from: 0, to: 30_000}, i => ({gateway: i % 5}));
  [0, 1, 2, 3, 4].forEach(gateway =>
    deployment.at(5_000 + gateway * 4_000, () => deployment.restart(gateway)),
  );
  await deployment.clock.runUntil(34_000);
  expect(server?.mostInWindow(WINDOW_MS, IN_FORCE_MS) ?? 0).toBeLessThanOrEqual(
    allowed(10),
  );
  expect(server?.arrivedBetween(5_000, 30_000) ?? 0).toBeGreaterThan(150);
});

test('workspaces and kinds of requests share a limit fairly', async () => {
  const deployment = new LimitedDeployment({gateways: 3, limits: [10]});
  const span = {from: 0, to: 30_000};
  deployment.sendEvenly(100, span, i => ({gateway: i % 3}));
  deployment.sendEvenly(5, span, i => ({gateway: i % 3, route: 'book'}));
  deployment.sendEvenly(5, span, i => ({gateway: i % 3, workspace: 'werk'}));
  await deployment.clock.runUntil(34_000);
  const served = (
    matches: (o: {route: string; workspace: string}) => boolean,
  ) =>
    deployment.outcomes.filter(o => o.result === 'answered' && matches(o))
      .length;
  // A third of 10 a second each, over 30 s.
  expect(served(({route}) => route === 'book')).toBeGreaterThan(75);
  expect(served(({workspace}) => workspace === 'werk')).toBeGreaterThan(75);
  expect(deployment.outcomes.some(o => o.result === 'failed')).toEqual(false);
});

test('a limited server is neither avoided nor left without its share', async () => {
  const limits = [2, undefined, undefined];
  const deployment = new LimitedDeployment({gateways: 5, limits});
  deployment.sendEvenly(30, {from: 0, to: 20_000}, i => ({gateway: i % 5}));
  await deployment.clock.runUntil(24_000);
  const got = deployment.servers.map(server =>
    server.arrivedBetween(4_000, 20_000),
  );
  expect(got[0] ?? 0).toBeGreaterThanOrEqual(24);
  expect(got[0] ?? 0).toBeLessThanOrEqual(40);
  expect(Math.abs((got[1] ?? 0) - (got[2] ?? 0))).toBeLessThanOrEqual(60);
});
