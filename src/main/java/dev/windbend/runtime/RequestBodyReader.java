package dev.windbend.runtime;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSourceChannel;

/** Reads the body of one request as its bytes arrive, up to a size limit. */
final class RequestBodyReader {
  private static final byte[] EMPTY_BODY = new byte[0];
  private static final int INITIAL_BYTES = 1_024;

  /** A failure shows when the body is read. */
  private static final IoCallback NO_CALLBACK =
      new IoCallback() {
        @Override
        public void onComplete(HttpServerExchange exchange, Sender sender) {}

        @Override
        public void onException(HttpServerExchange exchange, Sender sender, IOException e) {}
      };

  private final HttpServerExchange exchange;
  private final int maxBytes;
  private final Callback callback;
  private ByteArrayOutputStream received;
  private StreamSourceChannel channel;
  private boolean ended;

  /** Receives the body, or the reason why it can't be read, exactly once. */
  interface Callback {
    /** Called when the body was read completely. */
    void bodyRead(byte[] body);

    /** Called when the body can't be read. */
    void bodyRejected(RequestEnd end);
  }

  /**
   * Creates a reader that has read nothing yet.
   *
   * @param maxBytes maximum size of the body
   */
  RequestBodyReader(HttpServerExchange exchange, int maxBytes, Callback callback) {
    this.exchange = exchange;
    this.maxBytes = maxBytes;
    this.callback = callback;
  }

  /** Starts to read; the callback may be called before this method returns. */
  void start() {
    if (exchange.isRequestComplete()) {
      ended = true;
      callback.bodyRead(EMPTY_BODY);
    } else if (exchange.getRequestContentLength() > maxBytes) {
      reject(RequestEnd.TOO_LARGE);
    } else {
      received = new ByteArrayOutputStream(INITIAL_BYTES);
      channel = exchange.getRequestChannel();
      sendInterimResponse();
      read();
    }
  }

  /** Asks a client that waits for the server's agreement to send the body. */
  private void sendInterimResponse() {
    if (HttpContinue.requiresContinueResponse(exchange)) {
      HttpContinue.sendContinueResponse(exchange, NO_CALLBACK);
    }
  }

  /** Returns whether the callback has been called. */
  boolean ended() {
    return ended;
  }

  /** Reads the bytes that have arrived, and rejects the request if its body is still incomplete. */
  void timeOut() {
    read();
    if (!ended) {
      reject(RequestEnd.TIMED_OUT);
    }
  }

  private void read() {
    if (ended) {
      return;
    }
    try (PooledByteBuffer pooled = exchange.getConnection().getByteBufferPool().allocate()) {
      readAvailable(pooled.getBuffer());
    } catch (IOException e) {
      reject(RequestEnd.BROKEN);
    }
  }

  private void readAvailable(ByteBuffer buffer) throws IOException {
    int count;
    while ((count = channel.read(buffer.clear())) > 0) {
      if (received.size() + count > maxBytes) {
        reject(RequestEnd.TOO_LARGE);
        return;
      }
      buffer.flip();
      byte[] bytes = new byte[count];
      buffer.get(bytes);
      received.write(bytes);
    }
    if (count < 0) {
      ended = true;
      callback.bodyRead(received.toByteArray());
    } else {
      channel.getReadSetter().set(ready -> read());
      channel.resumeReads();
    }
  }

  private void reject(RequestEnd end) {
    ended = true;
    if (channel != null) {
      channel.suspendReads();
    }
    callback.bodyRejected(end);
  }
}
