package dev.windbend.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Checks over loopback sockets that every response is one that a handler or this server built. */
class HttpServerTest {
  /**
   * Long limits where a response of the handler is expected, so that no load changes the verdict.
   */
  private static final HttpServerLimits LONG_LIMITS = HttpServerLimits.DEFAULT;

  private static final HttpServerLimits SHORT_RESPONSE =
      new HttpServerLimits(10_000, 200, 500, 100);
  private static final HttpServerLimits SHORT_REQUEST = new HttpServerLimits(300, 10_000, 500, 100);
  private static final int READ_TIMEOUT_MS = 5_000;
  private static final long LATER_MS = 60;
  private static final String BODY = "{\"text\":\"0123456789 0123456789 0123456789\"}";
  private static final int LARGE_BYTES = 32 * 1024 * 1024;

  private static XnioWorker worker;
  private static InetSocketAddress address;
  private static InetSocketAddress shortResponseAddress;
  private static InetSocketAddress shortRequestAddress;

  @BeforeAll
  @BeforeContainer
  static void startServer() throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .getMap());
    address = listen(LONG_LIMITS, cause -> {});
    shortResponseAddress = listen(SHORT_RESPONSE, cause -> {});
    shortRequestAddress = listen(SHORT_REQUEST, cause -> {});
  }

  private static InetSocketAddress listen(
      HttpServerLimits limits, Consumer<HttpServerMonitor.DroppedResponse> onDropped) {
    return HttpServer.listen(
        worker,
        new DefaultByteBufferPool(true, 8_192, 100, 4),
        "127.0.0.1:0",
        HttpServerTest::handle,
        new HttpServerMonitor() {
          @Override
          public void requestEnded(RequestEnd end) {}

          @Override
          public void responseSent(String path, int status) {}

          @Override
          public void responseDropped(DroppedResponse cause) {
            onDropped.accept(cause);
          }
        },
        limits);
  }

  @AfterAll
  @AfterContainer
  static void stopServer() throws InterruptedException {
    worker.shutdownNow();
    worker.awaitTermination(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Responds with the request's body, in the way that the path names. */
  private static void handle(ServerRequest request, Consumer<ServerResponse> done) {
    ServerResponse echo = new ServerResponse(201, request.body(), 0);
    switch (request.path()) {
      case "/now" -> done.accept(echo);
      case "/later" -> respondLater(LATER_MS, echo, done);
      case "/never" -> {}
      case "/too-late" -> respondLater(2 * SHORT_RESPONSE.responseMs(), echo, done);
      case "/twice" -> {
        done.accept(echo);
        done.accept(ServerResponse.ofStatus(400));
      }
      case "/throws-after-response" -> {
        done.accept(echo);
        throw new IllegalStateException("thrown by the test's handler");
      }
      case "/overflows-the-stack" -> throw new StackOverflowError("thrown by the test's handler");
      case "/large" -> done.accept(new ServerResponse(200, new byte[LARGE_BYTES], 0));
      default -> throw new IllegalStateException("thrown by the test's handler");
    }
  }

  private static void respondLater(
      long delayMs, ServerResponse response, Consumer<ServerResponse> done) {
    worker.getIoThread().executeAfter(() -> done.accept(response), delayMs, TimeUnit.MILLISECONDS);
  }

  private static RawHttpConnection connect(InetSocketAddress server) throws IOException {
    return new RawHttpConnection(server, READ_TIMEOUT_MS);
  }

  private static Stream<Arguments> handlersAndFramings() {
    return Stream.of(
            "/now 201",
            "/later 201",
            "/never 503",
            "/too-late 503",
            "/twice 201",
            "/throws 503",
            "/overflows-the-stack 503",
            "/throws-after-response 201")
        .map(row -> row.split(" ", 2))
        .flatMap(
            row ->
                Stream.of(RequestFraming.values())
                    .map(framing -> Arguments.of(row[0], framing, Integer.parseInt(row[1]))));
  }

  @ParameterizedTest(name = "{0} {1}: {2}")
  @MethodSource("handlersAndFramings")
  void respondsOnlyWithWhatWasBuiltForTheRequest(String path, RequestFraming framing, int status)
      throws Exception {
    InetSocketAddress server = status == 503 ? shortResponseAddress : address;
    try (RawHttpConnection connection = connect(server)) {
      for (int repetition = 0; repetition < 2; repetition++) {
        framing.send(connection, "POST", path, BODY);
        RawHttpConnection.Response response = connection.readResponse();
        assertThat(response.status()).isEqualTo(status);
        assertThat(response.body()).isEqualTo(status == 503 ? "{}" : BODY);
        assertThat(response.header("Retry-After")).isEqualTo(status == 503 ? "1" : "");
      }
    }
  }

  @Property(tries = 25, seed = "20261206")
  void respondsToRequestSplitAtRandomPositions(@ForAll Random random, @ForAll boolean chunked)
      throws Exception {
    String body = "x".repeat(1 + random.nextInt(20_000));
    byte[] request =
        chunked
            ? RawHttpConnection.chunkedRequest("POST", "/later", body, 1 + random.nextInt(5_000))
            : RawHttpConnection.request("POST", "/later", body);
    List<Integer> boundaries =
        IntStream.generate(() -> 1 + random.nextInt(request.length - 1))
            .limit(1 + random.nextInt(8))
            .sorted()
            .boxed()
            .toList();
    try (RawHttpConnection connection = connect(address)) {
      connection.sendInPieces(request, boundaries, 4);
      RawHttpConnection.Response response = connection.readResponse();
      assertThat(response.status()).isEqualTo(201);
      assertThat(response.body()).isEqualTo(body);
    }
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({"/twice", "/too-late"})
  void reportsResponseAfterTheEndOfTheExchange(String path) throws Exception {
    List<HttpServerMonitor.DroppedResponse> dropped = new CopyOnWriteArrayList<>();
    try (RawHttpConnection connection = connect(listen(SHORT_RESPONSE, dropped::add))) {
      RequestFraming.SPLIT_IN_BODY.send(connection, "POST", path, BODY);
      connection.readResponse();
      TimeUnit.MILLISECONDS.sleep(4 * SHORT_RESPONSE.responseMs());
    }
    assertThat(dropped).containsExactly(HttpServerMonitor.DroppedResponse.LATE);
  }

  @ParameterizedTest(name = "{0}: {2}")
  @CsvSource(
      delimiter = '|',
      value = {
        "half-sent body|Content-Length: 9__abc|408",
        "body without a byte|Content-Length: 9__|408",
        "half-sent chunk|Transfer-Encoding: chunked__9_abc|408",
        "half-sent chunk size|Transfer-Encoding: chunked__9|408",
        "missing last chunk|Transfer-Encoding: chunked__3_abc_|408",
        "chunk without its line end|Transfer-Encoding: chunked__3_abcdef_|408",
        "announced chunk over the limit|Transfer-Encoding: chunked__10001_abc|408",
        "announced body over the limit|Content-Length: 65537__abc|413",
      })
  void endsRequestThatCannotBeRead(String name, String rest, int status) throws Exception {
    try (RawHttpConnection connection = connect(shortRequestAddress)) {
      String text = "POST /now HTTP/1.1_Host: windbend_" + rest;
      connection.send(text.replace("_", "\r\n").getBytes(StandardCharsets.US_ASCII));
      RawHttpConnection.Response response = connection.readResponse();
      assertThat(response.status()).isEqualTo(status);
      assertThat(response.body()).isEqualTo("{}");
      assertThat(connection.awaitClose()).as("closed").isTrue();
    }
  }

  @Test
  void rejectsChunksOverTheLimitAtOnce() throws Exception {
    try (RawHttpConnection connection = connect(shortResponseAddress)) {
      String body = "x".repeat(MessageLimits.MAX_REQUEST_BYTES + 1);
      connection.send(RawHttpConnection.chunkedRequest("POST", "/now", body, 10_000));
      RawHttpConnection.Response response = connection.readResponse();
      assertThat(response.status()).isEqualTo(413);
      assertThat(response.body()).isEqualTo("{}");
      assertThat(connection.awaitClose()).as("closed").isTrue();
    }
  }

  /** Undertow itself ends the connection of a request that is no HTTP. */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "malformed chunk size|POST /now HTTP/1.1_Host: h_Transfer-Encoding: chunked__zz_abc_",
        "malformed request line|nonsense __",
        "two lengths|POST /now HTTP/1.1_Content-Length: 1_Transfer-Encoding: chunked__a",
        "negative length|POST /now HTTP/1.1_Content-Length: -1__a",
      })
  void closesConnectionAtOnceIfRequestIsMalformed(String name, String text) throws Exception {
    long startNs = System.nanoTime();
    try (RawHttpConnection connection = connect(address)) {
      connection.send(text.replace("_", "\r\n").getBytes(StandardCharsets.US_ASCII));
      String received = connection.readUntilClosed();
      assertThat(received).matches("|HTTP/1.1 400 (?s).*");
    }
    assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs))
        .isLessThan(LONG_LIMITS.requestMs());
  }

  /** An empty expected response means that the connection is closed without one. */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = ';',
      value = {
        "POST /now HTTP/1.0;408",
        "PURGE /now HTTP/1.1_Host: h;408",
        "OPTIONS * HTTP/1.1_Host: h;408",
        "TRACE /now HTTP/1.1_Host: h;408",
        "CONNECT h:80 HTTP/1.1_Host: h;408",
        "GET /now HTTP/1.1_Host: h;408",
        "HEAD /now HTTP/1.1_Host: h;408",
        "POST http://h/now HTTP/1.1_Host: h;408",
        "POST /%zz HTTP/1.1_Host: h;400",
        "POST /now?%zz HTTP/1.1_Host: h;400",
        "POST /now HTTP/1.1_Host: h_Expect: 100-continue;(100|408)",
        "POST /now HTTP/1.1_Host: h_Expect: nothing;408",
        "POST /now HTTP/1.1_Host: h_Connection: Upgrade_Upgrade: h2c;408",
        "POST /now HTTP/2.0_Host: h;(400|408)",
        "PRI * HTTP/2.0;(400|408)",
      })
  void endsConnectionOfHalfSentBodyWhateverItsHead(String head, String expectedStatus)
      throws Exception {
    try (RawHttpConnection connection = connect(shortRequestAddress)) {
      String text = head + "_Content-Length: 9__abc";
      connection.send(text.replace("_", "\r\n").getBytes(StandardCharsets.US_ASCII));
      String received = connection.readUntilClosed();
      assertThat(received).matches("|HTTP/1.[01] " + expectedStatus + " (?s).*");
    }
  }

  @Tag("known-red")
  @ParameterizedTest(name = "{0}")
  @ValueSource(strings = {"POST /now HTTP/1.1", "POST /now HTTP/1.1_Host: h_Host: i"})
  void endsConnectionOfHalfSentBodyWithoutExactlyOneHost(String head) throws Exception {
    endsConnectionOfHalfSentBodyWhateverItsHead(head, "400");
  }

  @Test
  void respondsToExpectationOfInterimResponse() throws Exception {
    byte[] request = RawHttpConnection.request("POST", "/later", BODY);
    String head =
        new String(request, 0, RawHttpConnection.headBytes(request), StandardCharsets.US_ASCII);
    try (RawHttpConnection connection = connect(address)) {
      connection.send(
          head.replace("Host", "Expect: 100-continue\r\nHost").getBytes(StandardCharsets.US_ASCII));
      assertThat(connection.readResponse().status()).isEqualTo(100);
      connection.send(BODY.getBytes(StandardCharsets.US_ASCII));
      assertThat(connection.readResponse().status()).isEqualTo(201);
    }
  }

  @Test
  void endsBodyThatTricklesPastTheTimeLimit() throws Exception {
    byte[] request = RawHttpConnection.request("POST", "/now", BODY.repeat(10));
    int headBytes = RawHttpConnection.headBytes(request);
    List<Integer> boundaries = IntStream.range(headBytes, headBytes + 100).boxed().toList();
    try (RawHttpConnection connection = connect(shortRequestAddress)) {
      try {
        connection.sendInPieces(request, boundaries, SHORT_REQUEST.requestMs() / 50);
      } catch (IOException e) {
        return;
      }
      assertThat(connection.readResponse().status()).isEqualTo(408);
    }
  }

  @Test
  void closesConnectionOfClientThatDoesNotTakeItsResponse() throws Exception {
    try (RawHttpConnection connection = connect(shortResponseAddress)) {
      connection.send(RawHttpConnection.request("POST", "/large", BODY));
      TimeUnit.MILLISECONDS.sleep(3 * SHORT_RESPONSE.writeMs());
      assertThat(connection.awaitClose()).isTrue();
    }
  }

  @Test
  void servesOthersAfterClientLeftBeforeItsResponse() throws Exception {
    try (RawHttpConnection leaving = connect(address)) {
      RequestFraming.SPLIT_IN_BODY.send(leaving, "POST", "/later", BODY);
    }
    TimeUnit.MILLISECONDS.sleep(2 * LATER_MS);
    try (RawHttpConnection connection = connect(address)) {
      connection.send(RawHttpConnection.request("POST", "/now", BODY));
      assertThat(connection.readResponse().status()).isEqualTo(201);
    }
  }
}
