package dev.windbend.runtime;

import io.undertow.connector.ByteBufferPool;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An HTTP client over persistent connections, with one {@link ConnectionPool} for each address. */
public final class UndertowHttpClient implements HttpClient {
  private static final Logger LOG = LoggerFactory.getLogger(UndertowHttpClient.class);

  /**
   * Interval of the check that closes the idle connections of each pool without calls since the
   * previous check. Calls to many machines could otherwise exhaust the sockets.
   */
  private static final long IDLE_TIMEOUT_MS = 5_000;

  private final XnioEventLoop loop;
  private final ByteBufferPool buffers;
  private final Map<String, ConnectionPool> pools = new HashMap<>();

  /**
   * Creates a client without connections.
   *
   * @param buffers the buffers that all connections share
   */
  public UndertowHttpClient(XnioEventLoop loop, ByteBufferPool buffers) {
    this.loop = loop;
    this.buffers = buffers;
    loop.every(IDLE_TIMEOUT_MS, () -> pools.values().removeIf(ConnectionPool::closeIfUnused));
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<ClientResponse> done) {
    ConnectionPool pool;
    try {
      pool = pools.computeIfAbsent(address, a -> new ConnectionPool(loop, buffers, a));
    } catch (IllegalArgumentException e) {
      // Addresses reported by workers are not validated.
      LOG.debug("malformed address: address={} cause={}", address, e.toString());
      loop.after(0, () -> done.accept(ClientResponse.NO_RESPONSE));
      return;
    }
    PendingCall call = new PendingCall(loop, pool, method, path, body, done);
    call.startTimeout(timeoutMs);
    pool.submit(call);
  }
}
