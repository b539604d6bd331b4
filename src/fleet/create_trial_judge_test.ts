import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CrashCase } from "../quarantine/index.ts";
import {
  createTrialJudge,
  type JudgeTrialOptions,
} from "./create_trial_judge.ts";

const PART = "part:a1";
const OTHER = "part:b2";

function makeCase(requestKey: string, engineIds: string[]): CrashCase {
  return { requestKey, engineIds, convictions: 0 };
}

function makeOptions(
  fields: Partial<JudgeTrialOptions> = {},
): JudgeTrialOptions {
  return {
    requestKeys: [PART],
    otherSuspects: [],
    engineIds: ["e1", "e2"],
    ...fields,
  };
}

const crash = (engineId: string, requestKey = PART) => ({
  requestKey,
  engineId,
});

test("the crash of a lone suspect's trial convicts it", () => {
  const judge = createTrialJudge();
  assert.equal(judge.judge(crash("e3"), makeOptions()), { isTrial: true });
});

test("a crash convicts nothing where another suspect had just begun, too", () => {
  const judge = createTrialJudge();
  judge.notePartAtCrash(crash("e3", OTHER));
  const otherSuspects = [makeCase(OTHER, ["e7", "e8"])];
  const options = makeOptions({ otherSuspects });
  assert.is(judge.judge(crash("e3"), options).isTrial, false);
  assert.is(judge.judge(crash("e4"), options).isTrial, true);
});

test("a part that ran before, or shares crashes with a suspect, needs two trials", () => {
  const ranBefore = createTrialJudge();
  ranBefore.noteRunBefore(PART);
  const sharing = createTrialJudge();
  const otherSuspects = [makeCase(OTHER, ["e2", "e8"])];
  const cases = [
    { judge: ranBefore, options: makeOptions() },
    { judge: sharing, options: makeOptions({ otherSuspects }) },
  ];
  for (const { judge, options } of cases) {
    assert.is(judge.judge(crash("e3"), options).isTrial, false);
    assert.is(judge.judge(crash("e3"), options).isTrial, false, "a repeat");
    assert.is(judge.judge(crash("e4"), options).isTrial, true);
    judge.forget(PART);
  }
  assert.is(ranBefore.judge(crash("e5"), makeOptions()).isTrial, true);
});

test("the trial of a request says nothing of its parts, that of parts convicts them all", () => {
  const judge = createTrialJudge();
  const withRequest = makeOptions({ requestKeys: ["r", PART] });
  assert.is(judge.judge(crash("e3"), withRequest).isTrial, false);
  assert.equal(judge.judge(crash("e3", "r"), withRequest), {
    isTrial: true,
    alsoOnTrial: [PART],
  });
  const joint = makeOptions({ requestKeys: [PART, OTHER] });
  assert.equal(judge.judge(crash("e4", OTHER), joint), {
    isTrial: true,
    alsoOnTrial: [PART],
  });
});

test.run();
