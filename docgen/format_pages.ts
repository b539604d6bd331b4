/**
 * Generates the reference pages of the documentation and the JSON Schemas.
 *
 * @module
 */

import type { TSchema } from "typebox";
import { EVENTS } from "../src/logs/index.ts";
import {
  METRICS,
  REFUSAL_REASONS,
  RETRY_REASONS,
} from "../src/metrics/index.ts";
import {
  describeSchema,
  RESOURCE_KINDS,
  SPEC_SCHEMAS,
  SYSTEM_KINDS,
} from "../src/model/index.ts";
import {
  ControlSettingsSchema,
  EntrySettingsSchema,
} from "../src/settings/index.ts";

type AnySchema = TSchema & Record<string, unknown>;

/** A file of the repository that is generated from the code. */
export interface GeneratedFile {
  readonly path: string;
  readonly text: string;
}

const GENERATED_NOTICE = "This page is made from the code by `npm run docs`.";

/** Generates all files that are derived from the code. */
export function makeGeneratedFiles(): GeneratedFile[] {
  return [
    { path: "docs/EVENTS.md", text: formatEvents() },
    { path: "docs/METRICS.md", text: formatMetrics() },
    { path: "docs/SETTINGS.md", text: formatSettings() },
    { path: "docs/RESOURCES.md", text: formatResources() },
    makeSchemaFile("entry", EntrySettingsSchema),
    makeSchemaFile("control", ControlSettingsSchema),
  ];
}

function makeSchemaFile(program: string, schema: TSchema): GeneratedFile {
  const text = `${JSON.stringify(schema, null, 2)}\n`;
  return { path: `schemas/${program}.schema.json`, text };
}

function formatEvents(): string {
  const rows = Object.values(EVENTS)
    .map(({ id, level, text }) => `| ${id} | ${level} | ${text} |`);
  return join([
    "# Events",
    "",
    GENERATED_NOTICE,
    "",
    "Numbers: CL10 processes, CL11 storage, CL12 quorum, CL13 resources, CL14",
    "membership and sessions, CL15 requests, CL16 upstreams, CL17 the fleet, CL18",
    "calls through a gateway. A line carries its time, level, program, number,",
    "text and fields; with `logs.format` set to `json` it is one JSON object.",
    "",
    "| number | level | meaning |",
    "| --- | --- | --- |",
    ...rows,
  ]);
}

function formatMetrics(): string {
  const table = (rows: Readonly<Record<string, string>>, prefix = "") =>
    Object.entries(rows).map(([name, text]) =>
      `| \`crowlever.${prefix}${name}\` | ${text} |`
    );
  const head = ["| metric | meaning |", "| --- | --- |"];
  return join([
    "# Metrics",
    "",
    GENERATED_NOTICE,
    "",
    "Sent over StatsD to `metrics.host`; `GET /v1/counters` of each process",
    "gives its counters since the start.",
    "",
    "## Counters, gauges and timings",
    "",
    ...head,
    ...table(METRICS),
    "",
    "## Refusals",
    "",
    "Each is the `reason` of a problem document too.",
    "",
    ...head,
    ...table(REFUSAL_REASONS, "refusal."),
    "",
    "## Retries",
    "",
    ...head,
    ...table(RETRY_REASONS, "retry."),
  ]);
}

function formatSettings(): string {
  return join([
    "# Settings",
    "",
    GENERATED_NOTICE,
    "",
    "Settings are JSON with comments, one file a program, given with",
    "`--settings FILE`; `--check` only checks it. `schemas/` has JSON Schemas",
    "for editors.",
    "",
    "## crowlever-entry",
    "",
    ...formatFields(EntrySettingsSchema),
    "",
    "## crowlever-control",
    "",
    ...formatFields(ControlSettingsSchema),
  ]);
}

function formatResources(): string {
  const kinds = RESOURCE_KINDS.flatMap((kind) => [
    "",
    `## ${kind}`,
    "",
    ...(SYSTEM_KINDS.includes(kind) ? ["Written by control itself.", ""] : []),
    ...formatFields(SPEC_SCHEMAS[kind]),
  ]);
  return join([
    "# Resources",
    "",
    GENERATED_NOTICE,
    "",
    "Fields of each kind's `spec`.",
    ...kinds,
  ]);
}

function formatFields(schema: TSchema): string[] {
  return [
    "| field | allowed | default | meaning |",
    "| --- | --- | --- | --- |",
    ...listFields(schema as AnySchema, ""),
  ];
}

function listFields(schema: AnySchema, prefix: string): string[] {
  const properties = (schema.properties ?? {}) as Record<string, AnySchema>;
  const required = (schema.required ?? []) as string[];
  return Object.entries(properties).flatMap(([name, field]) => {
    const path = prefix === "" ? name : `${prefix}.${name}`;
    const item = field.items as AnySchema | undefined;
    if (field.properties) return listFields(field, path);
    if (item?.properties) return listFields(item, `${path}[]`);
    const isRequired = required.includes(name) && field.default === undefined;
    const defaultText = field.default === undefined
      ? isRequired ? "needed" : ""
      : `\`${JSON.stringify(field.default)}\``;
    const allowed = describeSchema(field).replaceAll("|", "\\|");
    const meaning = String(field.description ?? "");
    return [`| \`${path}\` | ${allowed} | ${defaultText} | ${meaning} |`];
  });
}

function join(lines: readonly string[]): string {
  return `${lines.join("\n")}\n`;
}
