import { test } from "uvu";
import * as assert from "uvu/assert";
import { EntrySettingsSchema, parseSettings } from "./index.ts";

const VALID = `{
  // An entry of the trial
  "fleetId": "trial",
  "vm": "entry-1",
  "place": "bkk-1",
  "listen": { "port": 0 },
  "controlAddresses": ["127.0.0.1:7000"],
}`;

const options = { file: "entry.jsonc", schema: EntrySettingsSchema };

function findMessage(text: string): string {
  try {
    parseSettings(text, options);
    return "";
  } catch (error) {
    return (error as Error).message;
  }
}

test("an empty file is rejected", () => {
  assert.match(findMessage(""), /^entry\.jsonc:1: /);
});

test("comments and trailing commas are allowed, defaults are filled in", () => {
  const settings = parseSettings(VALID, options);
  assert.is(settings.heartbeatIntervalMs, 500);
  assert.is(settings.limits.bodyBytes, 1_048_576);
  assert.is(settings.logs.level, "info");
});

test("all problems are reported at once, with line, field, found and allowed", () => {
  const text = VALID.replace('"port": 0', '"port": 99999')
    .replace('"vm": "entry-1"', '"vm": "Entry 1"')
    .replace('"place": "bkk-1"', '"plaice": "bkk-1"');
  const lines = findMessage(text).split("\n");
  assert.is(lines.length, 4);
  assert.ok(lines.includes(
    "entry.jsonc:6: listen.port: found 99999, allowed is integer, at least 0, at most 65535",
  ));
  assert.ok(lines.some((line) => line.startsWith("entry.jsonc:4: vm: found")));
  assert.ok(
    lines.some((line) =>
      /plaice: found "bkk-1", allowed is no such field/.test(line)
    ),
  );
  assert.ok(lines.some((line) => /place: found nothing/.test(line)));
});

test("a JSON syntax error is reported with its line", () => {
  assert.match(findMessage('{\n  "vm": ,\n}'), /entry\.jsonc:2: ValueExpected/);
});

test.run();
