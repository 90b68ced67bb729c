/*
 * A held connection to one address: begun at once, begun anew after it ends, until let go. What is
 * sent while there is no connection is lost, as records on any connection may be.
 */
package gladelug.kernel.connection;

import gladelug.kernel.Address;
import gladelug.kernel.message.Wire;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.util.function.Consumer;

public final class Held {
  public interface Records {
    void record(Held h, byte[] r) throws IOException;
  }

  private static final long PAUSE = 200;
  private final Vertx vertx;
  private final Doors doors;
  public final Address to;
  private final String protocol;
  private final Records records;
  private final Consumer<Held> opened;
  private volatile Connection connection;
  private volatile boolean let;

  public Held(
      Vertx vertx,
      Doors doors,
      Address to,
      String protocol,
      Records records,
      Consumer<Held> opened) {
    this.vertx = vertx;
    this.doors = doors;
    this.to = to;
    this.protocol = protocol;
    this.records = records;
    this.opened = opened;
    begin();
  }

  private void begin() {
    if (let) return;
    doors
        .call(
            to,
            protocol,
            c ->
                new Connection.Receiver() {
                  @Override
                  public void record(byte[] r) throws IOException {
                    records.record(Held.this, r);
                  }

                  @Override
                  public void closed() {
                    connection = null;
                    again();
                  }
                })
        .subscribe()
        .with(
            c -> {
              connection = c;
              if (let || !c.open()) c.close();
              else opened.accept(this);
            },
            t -> again());
  }

  private void again() {
    if (!let) vertx.setTimer(PAUSE, i -> begin());
  }

  public boolean send(Wire m) {
    Connection c = connection;
    return c != null && c.send(m);
  }

  public boolean open() {
    Connection c = connection;
    return c != null && c.open();
  }

  public void letGo() {
    let = true;
    Connection c = connection;
    if (c != null) c.close();
  }
}
