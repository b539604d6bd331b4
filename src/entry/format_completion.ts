/**
 * Parses and formats completions in the format of common completion APIs.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { type Static, Type } from "typebox";
import { findSchemaProblems } from "../model/index.ts";
import { DEFAULT_MAX_TOKENS } from "../pipeline/index.ts";
import { makeRefusal } from "./read_request.ts";
import type { ModelAnswer } from "./run_model_request.ts";

const MessageSchema = Type.Object({
  role: Type.String(),
  content: Type.String(),
});

const CompletionSchema = Type.Object({
  model: Type.String({ minLength: 1 }),
  prompt: Type.Optional(Type.String()),
  messages: Type.Optional(Type.Array(MessageSchema, { minItems: 1 })),
  max_tokens: Type.Optional(Type.Integer({ minimum: 1, maximum: 100_000 })),
  stream: Type.Optional(Type.Boolean()),
});

/** A completion request to a model service. */
export interface CompletionCall {
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  /** Whether it was sent as a list of chat messages. */
  readonly chat: boolean;
  readonly parameters: Readonly<Record<string, unknown>>;
}

/**
 * Reads a completion request.
 *
 * @param body - The request's body.
 * @returns The parsed request.
 * @throws {RequestProblemError} If the body is not a valid completion request.
 * @example
 * const call = readCompletionCall(body);
 */
export function readCompletionCall(body: Buffer | undefined): CompletionCall {
  const value = parseJson(body);
  const problems = findSchemaProblems(CompletionSchema, value);
  if (problems.length > 0) {
    const detail = problems
      .map(({ field, found, allowed }) =>
        `${field || "body"}: found ${found}, allowed is ${allowed}`
      )
      .join("; ");
    throw makeRefusal("bad_request", { status: 400, detail });
  }
  const {
    model,
    prompt,
    messages,
    max_tokens: maxTokens = DEFAULT_MAX_TOKENS,
    stream = false,
    ...parameters
  } = value as Static<typeof CompletionSchema>;
  const text = prompt ??
    messages?.map(({ role, content }) => `${role}: ${content}`).join("\n");
  if (text === undefined) {
    const detail = "prompt or messages: found nothing, allowed is one of them";
    throw makeRefusal("bad_request", { status: 400, detail });
  }
  const chat = messages !== undefined;
  return { service: model, prompt: text, maxTokens, stream, chat, parameters };
}

function parseJson(body: Buffer | undefined): unknown {
  try {
    return JSON.parse(body?.toString("utf8") ?? "");
  } catch {
    const detail = "The body is not valid JSON";
    throw makeRefusal("bad_request", { status: 400, detail });
  }
}

/**
 * Formats a non-streamed completion.
 *
 * @param answer - The tokens, and the path that generated them.
 * @param options - The request.
 * @returns The JSON document.
 * @throws Nothing.
 * @example
 * const body = formatCompletion(answer, { requestId, call });
 */
export function formatCompletion(
  answer: ModelAnswer,
  options: { requestId: string; call: CompletionCall },
): string {
  const { requestId, call } = options;
  const text = answer.tokens.map((token) => token.text).join("");
  const finish = answer.tokens.at(-1)?.last ? "stop" : "length";
  const choice = call.chat
    ? { index: 0, message: { role: "assistant", content: text } }
    : { index: 0, text };
  return JSON.stringify({
    id: requestId,
    object: call.chat ? "chat.completion" : "text_completion",
    model: call.service,
    choices: [{ ...choice, finish_reason: finish }],
    usage: { completion_tokens: answer.tokens.length },
    crowlever: { path: answer.path, epochs: answer.epochs },
  });
}

/**
 * Formats the event of one token.
 *
 * @param token - The request and the token's text.
 * @returns The JSON document.
 * @throws Nothing.
 * @example
 * const data = formatTokenEvent({ requestId, call, text: " a" });
 */
export function formatTokenEvent(
  token: { requestId: string; call: CompletionCall; text: string },
): string {
  const { requestId, call, text } = token;
  const choice = call.chat
    ? { index: 0, delta: { content: text } }
    : { index: 0, text };
  return JSON.stringify({
    id: requestId,
    object: call.chat ? "chat.completion.chunk" : "text_completion",
    model: call.service,
    choices: [choice],
  });
}
