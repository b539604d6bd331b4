/**
 * Answers unary gRPC calls from promises.
 *
 * @module
 */

import { type sendUnaryData, status } from "@grpc/grpc-js";

/** Options of {@link answerCall}. */
export interface AnswerCallOptions<Reply> {
  /** The callback of the call. */
  readonly done: sendUnaryData<Reply>;
  /** Called with the error of a call that has failed. */
  readonly onFailed: (error: unknown) => void;
}

/**
 * Answers a call with what a promise resolves to, or with a status if it rejects: a
 * rejection that nothing handles would end the process. A request that is not JSON gets
 * INVALID_ARGUMENT.
 *
 * @param answer - The answer.
 * @param options - Where the answer goes, and failures.
 * @returns A promise that resolves once the call is answered.
 * @throws Nothing.
 * @example
 * void answerCall(handleJoin(call.request), { done, onFailed });
 */
export async function answerCall<Reply>(
  answer: Promise<Reply>,
  options: AnswerCallOptions<Reply>,
): Promise<void> {
  const { done, onFailed } = options;
  let reply: Reply;
  try {
    reply = await answer;
  } catch (error) {
    onFailed(error);
    const isUnreadable = error instanceof SyntaxError;
    const code = isUnreadable ? status.INVALID_ARGUMENT : status.INTERNAL;
    const details = isUnreadable ? "not JSON" : "internal error";
    return done({ code, details });
  }
  done(null, reply);
}
