package dev.windbend.runtime;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringWriteChannelListener;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

/** An HTTP call, from its submission until its response or timeout. */
final class PendingCall {
  private static final Logger LOG = LoggerFactory.getLogger(PendingCall.class);
  private static final int READ_BUFFER_BYTES = 8_192;
  private static final int EXPECTED_RESPONSE_BYTES = 256;

  private final XnioEventLoop loop;
  private final ConnectionPool pool;
  private final String method;
  private final String path;
  private final byte[] body;
  private final Consumer<ClientResponse> done;
  private final ByteArrayOutputStream received = new ByteArrayOutputStream(EXPECTED_RESPONSE_BYTES);
  private EventLoop.Timer timeout;
  private long timeoutAtMs;
  private ClientConnection connection;
  private boolean connecting;
  private boolean finished;

  /**
   * Creates a call that is not submitted yet.
   *
   * @param body the JSON body; null for none
   * @param done receives the response exactly once
   */
  PendingCall(
      XnioEventLoop loop,
      ConnectionPool pool,
      String method,
      String path,
      byte[] body,
      Consumer<ClientResponse> done) {
    this.loop = loop;
    this.pool = pool;
    this.method = method;
    this.path = path;
    this.body = body;
    this.done = done;
  }

  /** Starts the timeout, which must be done before the call is submitted. */
  void startTimeout(long timeoutMs) {
    timeoutAtMs = loop.nowMs() + timeoutMs;
    timeout = loop.after(timeoutMs, this::timedOut);
  }

  /** Called when the pool opens a connection for this call. */
  void connectionRequested() {
    connecting = true;
  }

  /** Called when the connection opened for this call is ready. */
  void connected(ClientConnection opened) {
    if (finished) {
      // The call timed out before the connection was open, and the pool no longer counts it.
      IoUtils.safeClose(opened);
      return;
    }
    connecting = false;
    send(opened);
  }

  /** Called when the connection for this call could not be opened. */
  void connectionFailed() {
    if (!finished) {
      connecting = false;
      pool.releaseClosed();
      finish(ClientResponse.NO_RESPONSE);
    }
  }

  /** Delivers the response, unless the call has already finished. */
  void finish(ClientResponse response) {
    if (!finished) {
      finished = true;
      timeout.cancel();
      XnioEventLoop.runLoggingErrors(() -> done.accept(response));
    }
  }

  private void timedOut() {
    if (finished) {
      return;
    }
    LOG.debug("request timed out: method={} address={} path={}", method, pool.address(), path);
    pool.remove(this);
    if (connecting) {
      pool.releaseClosed();
    }
    closeConnection();
    finish(ClientResponse.NO_RESPONSE);
  }

  private void closeConnection() {
    if (connection != null) {
      ClientConnection openConnection = connection;
      connection = null;
      IoUtils.safeClose(openConnection);
      pool.releaseClosed();
    }
  }

  private void failed(IOException e) {
    LOG.debug(
        "request failed: method={} address={} path={} cause={}",
        method,
        pool.address(),
        path,
        e.toString());
    if (!finished) {
      closeConnection();
      finish(ClientResponse.NO_RESPONSE);
    }
  }

  /** Sends the request over the open connection. */
  void send(ClientConnection openConnection) {
    connection = openConnection;
    if (loop.nowMs() >= timeoutAtMs) {
      // The process was suspended beyond the timeout; the request may be outdated and is not sent.
      timedOut();
      return;
    }
    connection.sendRequest(
        request(),
        new ResponseCallback() {
          @Override
          public void completed(ClientExchange exchange) {
            awaitResponse(exchange);
            writeBody(exchange);
          }
        });
  }

  private ClientRequest request() {
    ClientRequest request = new ClientRequest().setMethod(new HttpString(method)).setPath(path);
    request.getRequestHeaders().put(Headers.HOST, pool.address());
    if (body != null) {
      request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
    }
    return request;
  }

  private void awaitResponse(ClientExchange exchange) {
    exchange.setResponseListener(
        new ResponseCallback() {
          @Override
          public void completed(ClientExchange responded) {
            read(responded, responded.getResponseChannel());
          }
        });
  }

  private void writeBody(ClientExchange exchange) {
    if (body != null && body.length > 0) {
      new StringWriteChannelListener(new String(body, StandardCharsets.UTF_8))
          .setup(exchange.getRequestChannel());
    }
  }

  /** Reads the available bytes and continues when more arrive, until the body is complete. */
  private void read(ClientExchange exchange, StreamSourceChannel channel) {
    ByteBuffer chunk = ByteBuffer.allocate(READ_BUFFER_BYTES);
    try {
      while (true) {
        chunk.clear();
        int count = channel.read(chunk);
        if (count == 0) {
          channel.getReadSetter().set(ready -> read(exchange, channel));
          channel.resumeReads();
          return;
        }
        if (count < 0) {
          break;
        }
        received.write(chunk.array(), 0, count);
      }
    } catch (IOException e) {
      failed(e);
      return;
    }
    if (!finished) {
      ClientConnection used = connection;
      connection = null;
      int status = exchange.getResponse().getResponseCode();
      // The connection becomes reusable only after this event, so a later event releases it.
      loop.after(0, () -> pool.release(used));
      finish(new ClientResponse(status, received.toByteArray()));
    }
  }

  /** Fails the call if the exchange fails. */
  private abstract class ResponseCallback implements ClientCallback<ClientExchange> {
    @Override
    public void failed(IOException e) {
      PendingCall.this.failed(e);
    }
  }
}
