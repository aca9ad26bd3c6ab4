package dev.windbend.runtime;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;

/** A bounded number of connections to one address, and the calls that wait for a connection. */
final class ConnectionPool {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectionPool.class);
  private static final int MAX_CONNECTIONS = 16;
  private static final int MAX_WAITING_CALLS = 500;
  private static final OptionMap SOCKET_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

  private final XnioEventLoop loop;
  private final ByteBufferPool buffers;
  private final String address;
  private final URI uri;
  private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
  private final ArrayDeque<PendingCall> waiting = new ArrayDeque<>();

  /** Number of connections that are open or being opened, including idle ones. */
  private int open;

  private boolean usedSinceLastCheck;

  /**
   * Creates a pool without connections.
   *
   * @throws IllegalArgumentException if the address is malformed
   */
  ConnectionPool(XnioEventLoop loop, ByteBufferPool buffers, String address) {
    this.loop = loop;
    this.buffers = buffers;
    this.address = address;
    this.uri = URI.create("http://" + address);
  }

  String address() {
    return address;
  }

  /**
   * Closes the idle connections if no call was submitted since the last invocation.
   *
   * @return whether the pool has neither connections nor waiting calls, so that it can be discarded
   */
  boolean closeIfUnused() {
    if (!usedSinceLastCheck) {
      open -= idle.size();
      idle.forEach(IoUtils::safeClose);
      idle.clear();
    }
    usedSinceLastCheck = false;
    return open == 0 && waiting.isEmpty();
  }

  /**
   * Sends the call over an idle or a new connection. If all connections are in use, the call waits;
   * if too many calls are waiting, it fails.
   */
  void submit(PendingCall call) {
    usedSinceLastCheck = true;
    ClientConnection connection;
    while ((connection = idle.pollLast()) != null) {
      if (connection.isOpen()) {
        call.send(connection);
        return;
      }
      open--;
    }
    if (open < MAX_CONNECTIONS) {
      connect(call);
    } else if (waiting.size() < MAX_WAITING_CALLS) {
      waiting.add(call);
    } else {
      call.finish(ClientResponse.NO_RESPONSE);
    }
  }

  /** Removes the call from the waiting calls. */
  void remove(PendingCall call) {
    waiting.remove(call);
  }

  private void connect(PendingCall call) {
    open++;
    call.connectionRequested();
    ClientCallback<ClientConnection> callback =
        new ClientCallback<>() {
          @Override
          public void completed(ClientConnection connection) {
            call.connected(connection);
          }

          @Override
          public void failed(IOException e) {
            LOG.debug("connection failed: address={} cause={}", address, e.toString());
            call.connectionFailed();
          }
        };
    UndertowClient.getInstance().connect(callback, uri, loop.thread(), buffers, SOCKET_OPTIONS);
  }

  /** Makes the connection available to the next call. */
  void release(ClientConnection connection) {
    if (connection != null && connection.isOpen()) {
      idle.addLast(connection);
      submitNext();
    } else {
      releaseClosed();
    }
  }

  /** Records that a connection was closed or could not be opened. */
  void releaseClosed() {
    open--;
    submitNext();
  }

  private void submitNext() {
    PendingCall next = waiting.poll();
    if (next != null) {
      submit(next);
    }
  }
}
