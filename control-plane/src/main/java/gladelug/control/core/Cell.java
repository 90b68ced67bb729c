/*
 * What a member keeps on disk for one key: the highest epoch it promised, and the value it last
 * accepted with the epoch and number it came under. The value's history lets the fate of an
 * earlier number be told. Numbers only rise; a number whose write reached a majority never means
 * anything else.
 */
package gladelug.control.core;

import gladelug.kernel.message.Wire;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

record Cell(long promised, long epoch, Value value) {
  /**
   * at: by the clock on the wall, for people; by: its owner then; what: what it changed. Nothing is
   * decided by these.
   */
  record Mark(long number, String digest, long at, String by, String what) {}

  /** body is what is pushed; number 0 is "never written". */
  record Value(long number, String digest, PVector<Mark> history, byte[] body) {
    static final Value NONE = new Value(0, "", TreePVector.empty(), new byte[0]);
    private static final int REMEMBERED = 32;

    Value next(String d, byte[] b) {
      return next(d, b, 0, "", "");
    }

    Value next(String d, byte[] b, long at, String by, String what) {
      PVector<Mark> h = history.plus(new Mark(number + 1, d, at, by, what));
      return new Value(number + 1, d, h.size() > REMEMBERED ? h.minus(0) : h, b);
    }

    void write(DataOutputStream o) throws IOException {
      o.writeLong(number);
      o.writeUTF(digest);
      Wire.list(
          o,
          history,
          (p, m) -> {
            p.writeLong(m.number);
            p.writeUTF(m.digest);
          });
      Wire.blob(o, body);
      for (Mark m : history) {
        o.writeLong(m.at);
        o.writeUTF(m.by);
        o.writeUTF(m.what);
      }
    }

    static Value read(DataInputStream i) throws IOException {
      long n = i.readLong();
      String d = i.readUTF();
      List<Mark> h = Wire.list(i, j -> new Mark(j.readLong(), j.readUTF(), 0, "", ""));
      byte[] b = Wire.blob(i);
      // what was kept before marks said more ends here
      boolean more = i.available() > 0;
      PVector<Mark> marks = TreePVector.empty();
      for (Mark m : h)
        marks =
            marks.plus(
                more ? new Mark(m.number, m.digest, i.readLong(), i.readUTF(), i.readUTF()) : m);
      return new Value(n, d, marks, b);
    }

    @Override
    public String toString() {
      return number + ":" + (digest.length() > 8 ? digest.substring(0, 8) : digest);
    }
  }

  static final Cell EMPTY = new Cell(0, 0, Value.NONE);

  /** Whether a write under this epoch and number is at least as new as what is kept. */
  boolean takes(long e, long n) {
    return e > epoch || e == epoch && n >= value.number;
  }

  /** The newer value and the higher promise of two members' cells for one key. */
  static Cell merge(Cell a, Cell b) {
    Cell n = a.takes(b.epoch, b.value.number) ? b : a;
    return new Cell(Math.max(a.promised, b.promised), n.epoch, n.value);
  }

  byte[] bytes() {
    ByteArrayOutputStream b = new ByteArrayOutputStream();
    try (DataOutputStream o = new DataOutputStream(b)) {
      o.writeLong(promised);
      o.writeLong(epoch);
      value.write(o);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return b.toByteArray();
  }

  static Cell of(byte[] b) {
    try {
      DataInputStream i = new DataInputStream(new ByteArrayInputStream(b));
      return new Cell(i.readLong(), i.readLong(), Value.read(i));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
