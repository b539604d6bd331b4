/**
 * What the stand-in engine computes: small numbers in which a missing, a
 * doubled or a misplaced layer or position shows in every token after it.
 *
 * @module
 */

/** Mixes two numbers into one of 32 bits. */
function mix(a: number, b: number): number {
  let x = Math.imul(a ^ (b + 0x9e3779b9), 0x85ebca6b);
  x ^= x >>> 13;
  x = Math.imul(x, 0xc2b2ae35);
  return (x ^ (x >>> 16)) >>> 0;
}

/** Runs layers on an input; `memory` is what the stage kept of the positions before. */
export function runLayers(
  input: number,
  options: { start: number; end: number; memory: readonly number[] },
): { output: number; memory: number[] } {
  let value = input;
  const memory: number[] = [];
  for (let layer = options.start; layer < options.end; layer++) {
    const kept = options.memory[layer - options.start] ?? 0;
    value = mix(mix(value, layer + 1), kept);
    memory.push(mix(kept, value));
  }
  return { output: value, memory };
}

/** Turns a prompt into its input numbers, a word each. */
export function readPrompt(prompt: string): number[] {
  const words = prompt.split(/\s+/).filter((word) => word !== "");
  return words.map((word) =>
    [...word].reduce((sum, letter) => mix(sum, letter.charCodeAt(0)), 7)
  );
}

/** Turns the last layer's output into a token. */
export function makeToken(output: number): { id: number; text: string } {
  const id = output % 50_000;
  return { id, text: ` t${id}` };
}

/** The input number of a token that was emitted. */
export function readToken(id: number): number {
  return mix(id, 11);
}

/** What a whole model answers: the reference for tests. */
export function computeAnswer(
  prompt: string,
  options: { layerCount: number; tokens: number },
): string {
  const { layerCount, tokens } = options;
  let memory: number[] = [];
  let output = 0;
  const run = (input: number) => {
    const result = runLayers(input, { start: 0, end: layerCount, memory });
    memory = result.memory;
    output = result.output;
  };
  readPrompt(prompt).forEach(run);
  let text = "";
  for (let count = 0; count < tokens; count++) {
    const token = makeToken(output);
    text += token.text;
    run(readToken(token.id));
  }
  return text;
}
