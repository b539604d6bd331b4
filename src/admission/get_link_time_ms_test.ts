import { test } from "uvu";
import * as assert from "uvu/assert";
import { getLinkTimeMs } from "./get_link_time_ms.ts";

const MODEL = { activationBytes: 28_142, placeLinkMbps: 3_280 };

test("the link time is that of the activations of all prompt tokens", () => {
  const linkTimeMs = getLinkTimeMs(MODEL, { promptTokens: 800 });
  // 800 tokens of 28,142 bytes are 180.1 Mbit.
  assert.is(linkTimeMs?.toFixed(2), "54.91");
  assert.is(getLinkTimeMs(MODEL, { promptTokens: 0 }), 0);
});

test("1 Mbit takes 1 s on a link of 1 Mbit/s", () => {
  const model = { activationBytes: 125, placeLinkMbps: 1 };
  assert.is(getLinkTimeMs(model, { promptTokens: 1_000 }), 1_000);
});

test("a model without a declared link has no link time", () => {
  const options = { promptTokens: 800 };
  assert.is(getLinkTimeMs({}, options), undefined);
  assert.is(getLinkTimeMs({ activationBytes: 28_142 }, options), undefined);
  assert.is(getLinkTimeMs({ placeLinkMbps: 3_280 }, options), undefined);
});

test("zeros declare no link, rather than one that is never free", () => {
  const options = { promptTokens: 800 };
  assert.is(getLinkTimeMs({ ...MODEL, placeLinkMbps: 0 }, options), undefined);
  assert.is(
    getLinkTimeMs({ ...MODEL, activationBytes: 0 }, options),
    undefined,
  );
});

test.run();
