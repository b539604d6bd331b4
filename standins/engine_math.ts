/**
 * Arithmetic of the stand-in engine: a layer or position that is skipped, repeated
 * or out of order changes every later token.
 *
 * @module
 */

/** Hashes two numbers into one of 32 bits. */
function hash(a: number, b: number): number {
  let x = Math.imul(a ^ (b + 0x9e3779b9), 0x85ebca6b);
  x ^= x >>> 13;
  x = Math.imul(x, 0xc2b2ae35);
  return (x ^ (x >>> 16)) >>> 0;
}

/** Runs layers on an input; `memory` is the state of each layer from earlier positions. */
export function runLayers(
  input: number,
  options: { start: number; end: number; memory: readonly number[] },
): { output: number; memory: number[] } {
  let value = input;
  const memory: number[] = [];
  for (let layer = options.start; layer < options.end; layer++) {
    const kept = options.memory[layer - options.start] ?? 0;
    value = hash(hash(value, layer + 1), kept);
    memory.push(hash(kept, value));
  }
  return { output: value, memory };
}

/** Converts a prompt into input numbers, one per word. */
export function readPrompt(prompt: string): number[] {
  const words = prompt.split(/\s+/).filter((word) => word !== "");
  return words.map((word) =>
    [...word].reduce((sum, letter) => hash(sum, letter.charCodeAt(0)), 7)
  );
}

/** Converts the last layer's output into a token. */
export function makeToken(output: number): { id: number; text: string } {
  const id = output % 50_000;
  return { id, text: ` t${id}` };
}

/** Returns the input number of an emitted token. */
export function readToken(id: number): number {
  return hash(id, 11);
}

/** Computes the answer of the whole model: the reference for tests. */
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
