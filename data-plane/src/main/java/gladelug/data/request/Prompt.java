package gladelug.data.request;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A request's prompt as the index and the choice of a replica see it: its prefix blocks in order,
 * each with a size in units and a key that depends on model, weights and cache scope. Callers of
 * the product's own protocol send text, which is split into blocks of bytes of one unit each; other
 * protocols send parts with their token counts, one unit per token.
 */
public sealed interface Prompt {
  Prompt NONE = new Parts(List.of());

  /**
   * Returns the keys of the prefix blocks; blockBytes is the block size with which replicas split
   * text.
   */
  long[] blockKeys(String model, String weights, String scope, int blockBytes);

  /** Returns the size of a block in units. */
  int blockUnits(int index);

  /**
   * Returns the size of the whole prompt in units; blockBytes is the block size with which replicas
   * split text.
   */
  int totalUnits(int blockBytes);

  /** A prompt given as text. */
  record Text(String text) implements Prompt {
    @Override
    public long[] blockKeys(String model, String weights, String scope, int blockBytes) {
      return PrefixBlocks.computeIds(
          model, weights, scope, text.getBytes(StandardCharsets.UTF_8), blockBytes);
    }

    @Override
    public int blockUnits(int index) {
      return 1;
    }

    @Override
    public int totalUnits(int blockBytes) {
      return text.getBytes(StandardCharsets.UTF_8).length / blockBytes;
    }
  }

  /** A named part of a prompt and its length in tokens. */
  record Part(String id, int tokens) {}

  /** A prompt given as its parts in order. */
  record Parts(List<Part> parts) implements Prompt {
    public Parts {
      parts = List.copyOf(parts);
    }

    @Override
    public long[] blockKeys(String model, String weights, String scope, int blockBytes) {
      String salt = CacheSalt.of(model, weights, scope);
      long[] keys = new long[parts.size()];
      for (int index = 0; index < keys.length; index++)
        keys[index] = CacheSalt.partKey(salt, parts.get(index).id);
      return keys;
    }

    @Override
    public int blockUnits(int index) {
      return parts.get(index).tokens;
    }

    @Override
    public int totalUnits(int blockBytes) {
      int units = 0;
      for (Part part : parts) units += part.tokens;
      return units;
    }
  }
}
