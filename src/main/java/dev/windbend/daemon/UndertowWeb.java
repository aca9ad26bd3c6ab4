package dev.windbend.daemon;

import dev.windbend.daemon.io.EventLoop;
import dev.windbend.daemon.io.Web;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringWriteChannelListener;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.channels.StreamSourceChannel;

/** Outgoing calls over kept-alive connections, one call at a time on each, a bounded number. */
final class UndertowWeb implements Web {
  private static final Logger LOG = LoggerFactory.getLogger(UndertowWeb.class);
  private static final int MOST_CONNECTIONS = 16;
  private static final int MOST_WAITING = 500;
  private static final int CHUNK = 8_192;

  /** Unused for so long, connections are closed: calls to many machines must not use up sockets. */
  private static final long IDLE_MS = 5_000;

  private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

  private final XnioLoop loop;
  private final ByteBufferPool buffers;
  private final Map<String, Target> targets = new HashMap<>();

  UndertowWeb(XnioLoop loop, ByteBufferPool buffers) {
    this.loop = loop;
    this.buffers = buffers;
    loop.every(IDLE_MS, () -> targets.values().removeIf(Target::closeIfUnused));
  }

  @Override
  public void call(
      String address, String method, String path, byte[] body, long limitMs, Consumer<Reply> done) {
    Target target;
    try {
      target = targets.computeIfAbsent(address, Target::new);
    } catch (IllegalArgumentException e) {
      // A worker may report any text as its address.
      LOG.debug("no address: {}", address);
      loop.after(0, () -> done.accept(Reply.NONE));
      return;
    }
    Call call = new Call(target, method, path, body, done);
    call.untilMs = loop.nowMs() + limitMs;
    call.timer = loop.after(limitMs, call::timedOut);
    call.target.submit(call);
  }

  private final class Target {
    private final String address;
    private final URI uri;
    private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    private int open;
    private boolean used;

    Target(String address) {
      this.address = address;
      this.uri = URI.create("http://" + address);
    }

    /** Called now and then: true once nothing is left of it. */
    boolean closeIfUnused() {
      if (!used) {
        open -= idle.size();
        idle.forEach(IoUtils::safeClose);
        idle.clear();
      }
      used = false;
      return open == 0 && waiting.isEmpty();
    }

    void submit(Call call) {
      used = true;
      ClientConnection c;
      while ((c = idle.pollLast()) != null) {
        if (c.isOpen()) {
          call.send(c);
          return;
        }
        open--;
      }
      if (open < MOST_CONNECTIONS) {
        connect(call);
      } else if (waiting.size() < MOST_WAITING) {
        waiting.add(call);
      } else {
        call.finish(Reply.NONE);
      }
    }

    private void connect(Call call) {
      open++;
      call.connecting = true;
      UndertowClient.getInstance()
          .connect(
              new ClientCallback<>() {
                @Override
                public void completed(ClientConnection c) {
                  if (call.finished) {
                    IoUtils.safeClose(c);
                  } else {
                    call.connecting = false;
                    call.send(c);
                  }
                }

                @Override
                public void failed(IOException e) {
                  LOG.debug("connecting to {}: {}", address, e.toString());
                  if (!call.finished) {
                    call.connecting = false;
                    released(null);
                    call.finish(Reply.NONE);
                  }
                }
              },
              uri,
              loop.thread(),
              buffers,
              OPTIONS);
    }

    /** The connection is free again; null or closed: it is no more. */
    void released(ClientConnection c) {
      if (c != null && c.isOpen()) {
        idle.addLast(c);
      } else {
        open--;
      }
      Call next = waiting.poll();
      if (next != null) {
        submit(next);
      }
    }
  }

  private final class Call {
    private final Target target;
    private final String method;
    private final String path;
    private final byte[] body;
    private final Consumer<Reply> done;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream(256);
    private EventLoop.Timer timer;
    private long untilMs;
    private ClientConnection connection;
    private boolean connecting;
    private boolean finished;

    Call(Target target, String method, String path, byte[] body, Consumer<Reply> done) {
      this.target = target;
      this.method = method;
      this.path = path;
      this.body = body;
      this.done = done;
    }

    void finish(Reply reply) {
      if (!finished) {
        finished = true;
        timer.cancel();
        XnioLoop.run(() -> done.accept(reply));
      }
    }

    void timedOut() {
      if (finished) {
        return;
      }
      LOG.debug("{} {}{}: no answer in time", method, target.address, path);
      target.waiting.remove(this);
      if (connecting) {
        target.released(null);
      }
      broken();
      finish(Reply.NONE);
    }

    private void broken() {
      if (connection != null) {
        ClientConnection c = connection;
        connection = null;
        IoUtils.safeClose(c);
        target.released(null);
      }
    }

    private void failed(IOException e) {
      LOG.debug("{} {}{}: {}", method, target.address, path, e.toString());
      if (!finished) {
        broken();
        finish(Reply.NONE);
      }
    }

    void send(ClientConnection c) {
      connection = c;
      if (loop.nowMs() >= untilMs) {
        // This process stood still: what it meant to say then may be wrong by now.
        timedOut();
        return;
      }
      ClientRequest request = new ClientRequest().setMethod(new HttpString(method)).setPath(path);
      request.getRequestHeaders().put(Headers.HOST, target.address);
      if (body != null) {
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
      }
      c.sendRequest(
          request,
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
              exchange.setResponseListener(
                  new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange answered) {
                      read(answered, answered.getResponseChannel());
                    }

                    @Override
                    public void failed(IOException e) {
                      Call.this.failed(e);
                    }
                  });
              if (body != null && body.length > 0) {
                new StringWriteChannelListener(new String(body, StandardCharsets.UTF_8))
                    .setup(exchange.getRequestChannel());
              }
            }

            @Override
            public void failed(IOException e) {
              Call.this.failed(e);
            }
          });
    }

    private void read(ClientExchange exchange, StreamSourceChannel channel) {
      ByteBuffer chunk = ByteBuffer.allocate(CHUNK);
      try {
        while (true) {
          chunk.clear();
          int n = channel.read(chunk);
          if (n > 0) {
            received.write(chunk.array(), 0, n);
          } else if (n == 0) {
            channel.getReadSetter().set(ch -> read(exchange, channel));
            channel.resumeReads();
            return;
          } else {
            break;
          }
        }
      } catch (IOException e) {
        failed(e);
        return;
      }
      if (!finished) {
        ClientConnection c = connection;
        connection = null;
        int status = exchange.getResponse().getResponseCode();
        // After this event the connection has taken note that the answer is complete.
        loop.after(0, () -> target.released(c));
        finish(new Reply(status, received.toByteArray()));
      }
    }
  }
}
