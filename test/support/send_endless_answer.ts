import type { Socket } from "node:net";
import type { EndlessAnswer } from "./endless_answers.ts";

/** Sends an answer over a connection until it is closed. */
export function sendEndlessAnswer(
  socket: Socket,
  { start, repeated, intervalMs }: EndlessAnswer,
): void {
  if (start !== "") socket.write(start);
  if (intervalMs !== undefined) {
    const timer = setInterval(() => socket.write(repeated), intervalMs);
    socket.on("close", () => clearInterval(timer));
    return;
  }
  const fill = () => {
    while (!socket.destroyed && socket.write(repeated));
  };
  socket.on("drain", fill);
  fill();
}
