package dev.windbend.daemon;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.HttpServer;
import dev.windbend.runtime.RequestHandler;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.runtime.UndertowHttpClient;
import dev.windbend.runtime.XnioEventLoop;
import io.undertow.server.DefaultByteBufferPool;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The stand-ins of a {@link SimulatedCluster} in real time, with controllers that are reached and
 * reach their services over sockets on loopback. All runs on one thread. Direct commands to workers
 * alone are handed over without a socket.
 */
final class LoopbackCluster implements AutoCloseable {
  private static final long PUMP_MS = 5;
  private static final int BUFFER = 8_192;
  private static final String HOST = "127.0.0.1:";

  final SimulatedCluster stand;
  private final XnioWorker worker;
  private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER, 10_000, 4);
  private final XnioEventLoop loop;
  private final UndertowHttpClient web;
  private final Map<String, UndertowHttpClient> clients = new HashMap<>();
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final String state;
  private final String cloud;

  private static final class ControllerProcess {
    String userAddress;
    String peerAddress;
    Controller node;
  }

  LoopbackCluster(SimulatedCluster stand) throws java.io.IOException {
    this.stand = stand;
    OptionMap options =
        OptionMap.builder()
            .set(Options.WORKER_IO_THREADS, 1)
            .set(Options.WORKER_TASK_CORE_THREADS, 1)
            .set(Options.WORKER_TASK_MAX_THREADS, 1)
            .getMap();
    this.worker = Xnio.getInstance().createWorker(options);
    this.loop = new XnioEventLoop(worker.getIoThread());
    this.web = new UndertowHttpClient(loop, buffers);
    this.state =
        listen(
            (request, done) ->
                stand.store.handle(
                    "state", request.method(), path(request), request.body(), reply(done)));
    this.cloud =
        listen(
            (request, done) ->
                stand.deliver(
                    "node",
                    "cloud:1",
                    request.method(),
                    path(request),
                    request.body(),
                    reply(done)));
    for (int i = 0; i < stand.size; i++) {
      ControllerProcess c = new ControllerProcess();
      c.userAddress = listen((request, done) -> c.node.clientEndpoints().handle(request, done));
      c.peerAddress = listen((request, done) -> c.node.peerEndpoints().handle(request, done));
      controllers.add(c);
    }
    stand.delivery = this::deliver;
  }

  private String listen(RequestHandler door) {
    InetSocketAddress address = HttpServer.listen(worker, buffers, HOST + 0, door);
    return HOST + address.getPort();
  }

  private static String path(ServerRequest request) {
    String query =
        request.query().entrySet().stream()
            .map(e -> e.getKey() + "=" + e.getValue())
            .collect(Collectors.joining("&"));
    return query.isEmpty() ? request.path() : request.path() + "?" + query;
  }

  private static Consumer<ClientResponse> reply(Consumer<ServerResponse> done) {
    return r -> done.accept(new ServerResponse(r.status(), r.body(), 0));
  }

  /** Starts the controllers and the stand-ins' clock. */
  void start(int jobs, long spanMs) {
    loop.after(
        0,
        () -> {
          for (int i = 0; i < controllers.size(); i++) {
            startController(i);
          }
          stand.beginUsers(jobs, spanMs);
          long startMs = loop.nowMs();
          loop.every(PUMP_MS, () -> stand.time.runUntil(loop.nowMs() - startMs));
        });
  }

  private void startController(int i) {
    ControllerProcess c = controllers.get(i);
    String name = "n" + i;
    String settings = stand.settings(i).replace("state:1", state).replace("cloud:1", cloud);
    for (int other = 0; other < controllers.size(); other++) {
      settings = settings.replace("n" + other + ":81", controllers.get(other).peerAddress);
      settings = settings.replace("n" + other + ":80", controllers.get(other).userAddress);
    }
    try {
      c.node =
          new Controller(
              SettingsReader.parse(settings),
              stand.policy,
              loop,
              (address, method, path, body, limitMs, done) ->
                  call(name, address, method, path, body, limitMs, done));
    } catch (InvalidSettingsException e) {
      throw new AssertionError(e);
    }
    c.node.start();
  }

  /** A call of a controller's. */
  private void call(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      long limitMs,
      Consumer<ClientResponse> done) {
    if (address.startsWith("host-")) {
      stand.call(from, address, method, path, body, limitMs, done);
    } else {
      web.call(address, method, path, body, limitMs, done);
    }
  }

  /** A message of a worker's or a user's that is not lost. */
  private void deliver(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      Consumer<ClientResponse> done) {
    String to = SimulatedCluster.to(address);
    if (to.startsWith("n")) {
      ControllerProcess c = controllers.get(to.charAt(1) - '0');
      // Each worker has connections of its own.
      clients
          .computeIfAbsent(from, f -> new UndertowHttpClient(loop, buffers))
          .call(c.userAddress, method, path, body, FakeWorker.ANSWER_MS, done);
    } else {
      stand.deliver(from, address, method, path, body, done);
    }
  }

  /** Looks each second on the cluster's thread; false if it does not hold in this time. */
  boolean await(long mostS, BooleanSupplier holds) throws Exception {
    for (long s = 0; s < mostS; s++) {
      if (on(holds::getAsBoolean)) {
        return true;
      }
      TimeUnit.SECONDS.sleep(1);
    }
    return false;
  }

  /** Asks on the cluster's thread. */
  <T> T on(java.util.concurrent.Callable<T> question) throws Exception {
    CompletableFuture<T> answer = new CompletableFuture<>();
    loop.after(
        0,
        () -> {
          try {
            answer.complete(question.call());
          } catch (Exception e) {
            answer.completeExceptionally(e);
          }
        });
    try {
      return answer.get(30, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      throw new AssertionError("the cluster's thread does not answer", e);
    }
  }

  @Override
  public void close() {
    worker.shutdownNow();
  }
}
