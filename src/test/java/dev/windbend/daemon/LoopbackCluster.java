package dev.windbend.daemon;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.HttpServer;
import dev.windbend.runtime.HttpServerMonitor;
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
 * Runs the fake services, workers and users of a {@link SimulatedCluster} in real time, with
 * controllers that communicate over loopback sockets. Only direct commands to workers are delivered
 * without a socket. Everything runs on one thread.
 */
final class LoopbackCluster implements AutoCloseable {
  /** Interval at which the virtual time is advanced to the real time. */
  private static final long TIME_STEP_MS = 5;

  private static final int BUFFER_BYTES = 8_192;
  private static final String LOOPBACK_HOST = "127.0.0.1:";

  final SimulatedCluster simulatedCluster;
  private final XnioWorker worker;
  private final DefaultByteBufferPool buffers =
      new DefaultByteBufferPool(true, BUFFER_BYTES, 10_000, 4);
  private final XnioEventLoop eventLoop;
  private final UndertowHttpClient controllerClient;
  private final Map<String, UndertowHttpClient> workerClients = new HashMap<>();
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final String stateServiceAddress;
  private final String cloudAddress;

  private static final class ControllerProcess {
    String clientAddress;
    String peerAddress;
    Controller controller;
  }

  LoopbackCluster(SimulatedCluster simulatedCluster) throws java.io.IOException {
    this.simulatedCluster = simulatedCluster;
    OptionMap options =
        OptionMap.builder()
            .set(Options.WORKER_IO_THREADS, 1)
            .set(Options.WORKER_TASK_CORE_THREADS, 1)
            .set(Options.WORKER_TASK_MAX_THREADS, 1)
            .getMap();
    this.worker = Xnio.getInstance().createWorker(options);
    this.eventLoop = new XnioEventLoop(worker.getIoThread());
    this.controllerClient = new UndertowHttpClient(eventLoop, buffers);
    this.stateServiceAddress =
        listen(
            (request, onResponse) ->
                simulatedCluster.stateService.handle(
                    "state",
                    request.method(),
                    pathWithQuery(request),
                    request.body(),
                    asServerResponse(onResponse)));
    this.cloudAddress =
        listen(
            (request, onResponse) ->
                simulatedCluster.deliver(
                    "node",
                    "cloud:1",
                    request.method(),
                    pathWithQuery(request),
                    request.body(),
                    asServerResponse(onResponse)));
    for (int controllerIndex = 0;
        controllerIndex < simulatedCluster.controllerCount;
        controllerIndex++) {
      ControllerProcess process = new ControllerProcess();
      process.clientAddress =
          listen(
              (request, onResponse) ->
                  process.controller.clientEndpoints().handle(request, onResponse));
      process.peerAddress =
          listen(
              (request, onResponse) ->
                  process.controller.peerEndpoints().handle(request, onResponse));
      controllers.add(process);
    }
    simulatedCluster.delivery = this::deliver;
  }

  private String listen(RequestHandler handler) {
    InetSocketAddress address =
        HttpServer.listen(worker, buffers, LOOPBACK_HOST + 0, handler, HttpServerMonitor.NONE);
    return LOOPBACK_HOST + address.getPort();
  }

  /** Returns the address on which a controller serves users and workers. */
  InetSocketAddress clientAddress(int controllerIndex) {
    return socketAddress(controllers.get(controllerIndex).clientAddress);
  }

  /** Returns the address on which a controller serves other controllers and operators. */
  InetSocketAddress peerAddress(int controllerIndex) {
    return socketAddress(controllers.get(controllerIndex).peerAddress);
  }

  private static InetSocketAddress socketAddress(String hostAndPort) {
    int colon = hostAndPort.lastIndexOf(':');
    return new InetSocketAddress(
        hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
  }

  private static String pathWithQuery(ServerRequest request) {
    String query =
        request.query().entrySet().stream()
            .map(e -> e.getKey() + "=" + e.getValue())
            .collect(Collectors.joining("&"));
    return query.isEmpty() ? request.path() : request.path() + "?" + query;
  }

  private static Consumer<ClientResponse> asServerResponse(Consumer<ServerResponse> onResponse) {
    return response -> onResponse.accept(new ServerResponse(response.status(), response.body(), 0));
  }

  /** Starts the controllers and the users and begins to advance the virtual time. */
  void start(int jobCount, long spanMs) {
    eventLoop.after(
        0,
        () -> {
          for (int controllerIndex = 0; controllerIndex < controllers.size(); controllerIndex++) {
            startController(controllerIndex);
          }
          simulatedCluster.startUsers(jobCount, spanMs);
          long startMs = eventLoop.nowMs();
          eventLoop.every(
              TIME_STEP_MS, () -> simulatedCluster.time.runUntil(eventLoop.nowMs() - startMs));
        });
  }

  private void startController(int controllerIndex) {
    ControllerProcess process = controllers.get(controllerIndex);
    String name = "n" + controllerIndex;
    String settings =
        simulatedCluster
            .controllerSettings(controllerIndex)
            .replace("state:1", stateServiceAddress)
            .replace("cloud:1", cloudAddress);
    for (int otherIndex = 0; otherIndex < controllers.size(); otherIndex++) {
      settings =
          settings.replace("n" + otherIndex + ":81", controllers.get(otherIndex).peerAddress);
      settings =
          settings.replace("n" + otherIndex + ":80", controllers.get(otherIndex).clientAddress);
    }
    try {
      process.controller =
          new Controller(
              SettingsReader.parse(settings),
              simulatedCluster.policy,
              eventLoop,
              (address, method, path, body, timeoutMs, onResponse) ->
                  sendRequest(name, address, method, path, body, timeoutMs, onResponse));
    } catch (InvalidSettingsException e) {
      throw new AssertionError(e);
    }
    process.controller.start();
  }

  /** Sends a request of a controller. */
  private void sendRequest(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<ClientResponse> onResponse) {
    if (address.startsWith("host-")) {
      simulatedCluster.sendRequest(from, address, method, path, body, timeoutMs, onResponse);
    } else {
      controllerClient.call(address, method, path, body, timeoutMs, onResponse);
    }
  }

  /** Delivers a message of a worker or a user that is not lost. */
  private void deliver(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      Consumer<ClientResponse> onResponse) {
    String receiver = SimulatedCluster.hostOf(address);
    if (receiver.startsWith("n")) {
      ControllerProcess process = controllers.get(receiver.charAt(1) - '0');
      // Each worker uses its own connections.
      workerClients
          .computeIfAbsent(from, sender -> new UndertowHttpClient(eventLoop, buffers))
          .call(
              process.clientAddress,
              method,
              path,
              body,
              FakeWorker.RESPONSE_TIMEOUT_MS,
              onResponse);
    } else {
      simulatedCluster.deliver(from, address, method, path, body, onResponse);
    }
  }

  /**
   * Evaluates the condition each second on the thread of the cluster.
   *
   * @return false if the condition did not hold within the time-out
   */
  boolean awaitCondition(long timeoutS, BooleanSupplier condition) throws Exception {
    for (long elapsedS = 0; elapsedS < timeoutS; elapsedS++) {
      if (callOnEventLoop(condition::getAsBoolean)) {
        return true;
      }
      TimeUnit.SECONDS.sleep(1);
    }
    return false;
  }

  /** Runs the callable on the thread of the cluster and returns its result. */
  <T> T callOnEventLoop(java.util.concurrent.Callable<T> callable) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    eventLoop.after(
        0,
        () -> {
          try {
            result.complete(callable.call());
          } catch (Exception e) {
            result.completeExceptionally(e);
          }
        });
    try {
      return result.get(30, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      throw new AssertionError("the thread of the cluster did not run the call within 30 s", e);
    }
  }

  @Override
  public void close() {
    worker.shutdownNow();
  }
}
