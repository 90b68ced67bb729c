package gladelug.data.request;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What a request's prompt is to the index and to the choice of a replica: its prefix blocks in
 * order, each with a key that no other model, weights or scope of sharing has, and a size in units.
 * The product's own callers send text, which is split into blocks of bytes, one unit each; others
 * send the parts and their tokens, one unit a token.
 */
public sealed interface Prompt {
  Prompt NONE = new Parts(List.of());

  /** The keys of the prefix blocks under these; blockBytes is what the replicas cut text into. */
  long[] blockKeys(String model, String weights, String scope, int blockBytes);

  /** The size of the block at i, in units. */
  int blockUnits(int i);

  /** The size of all of it, in units; blockBytes is what the replicas cut text into. */
  int totalUnits(int blockBytes);

  /** A prompt as text. */
  record Text(String text) implements Prompt {
    @Override
    public long[] blockKeys(String model, String weights, String scope, int blockBytes) {
      return PrefixBlocks.computeIds(
          model, weights, scope, text.getBytes(StandardCharsets.UTF_8), blockBytes);
    }

    @Override
    public int blockUnits(int i) {
      return 1;
    }

    @Override
    public int totalUnits(int blockBytes) {
      return text.getBytes(StandardCharsets.UTF_8).length / blockBytes;
    }
  }

  /** A named part of a prompt and its tokens. */
  record Part(String id, int tokens) {}

  /** A prompt as its parts in order. */
  record Parts(List<Part> parts) implements Prompt {
    public Parts {
      parts = List.copyOf(parts);
    }

    @Override
    public long[] blockKeys(String model, String weights, String scope, int blockBytes) {
      String salt = CacheSalt.of(model, weights, scope);
      long[] out = new long[parts.size()];
      for (int i = 0; i < out.length; i++) out[i] = CacheSalt.partKey(salt, parts.get(i).id);
      return out;
    }

    @Override
    public int blockUnits(int i) {
      return parts.get(i).tokens;
    }

    @Override
    public int totalUnits(int blockBytes) {
      int units = 0;
      for (Part part : parts) units += part.tokens;
      return units;
    }
  }
}
