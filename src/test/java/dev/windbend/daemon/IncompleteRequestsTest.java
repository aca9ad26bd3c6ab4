package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.RawHttpConnection;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients that never complete their requests, at a process with as few sockets as any machine. */
class IncompleteRequestsTest {
  private static final int MAX_SOCKETS = 900;
  private static final int START_TIMEOUT_MS = 20_000;

  /** The load balancer waits for so long for the response to a health check. */
  private static final int HEALTH_CHECK_TIMEOUT_MS = 1_000;

  private static final int REQUEST_TIMEOUT_MS = 10_000;
  private static final int CLOSE_MARGIN_MS = 4_000;
  private static final List<String> INCOMPLETE_REQUESTS =
      List.of(
          "POST /v1/jobs HTTP/1.1\r\nHost: h\r\n",
          "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n{\"uid\":",
          "POST /hello HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n100\r\n{\"truck\":");

  private final List<RawHttpConnection> connections = new ArrayList<>();
  private Process controller;
  private InetSocketAddress address;
  private Path log;

  @BeforeEach
  void startController(@TempDir Path directory) throws Exception {
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
    log = directory.resolve("log");
    Path settings = directory.resolve("settings.toml");
    Files.writeString(
        settings,
        new SimulatedCluster(1, 1)
            .controllerSettings(0)
            .replace("n0:80", "127.0.0.1:" + address.getPort())
            .replace("n0:81", "127.0.0.1:" + freePort())
            .replace("state:1", "127.0.0.1:1")
            .replace("cloud:1", "127.0.0.1:1"));
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    controller =
        new ProcessBuilder(
                "bash",
                "-c",
                "ulimit -n " + MAX_SOCKETS + "; exec \"$@\"",
                "bash",
                java,
                "-Xmx128m",
                "-cp",
                System.getProperty("java.class.path"),
                "dev.windbend.daemon.Main",
                "--config",
                settings.toString())
            .redirectError(log.toFile())
            .start();
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
    while (!respondsToHealthCheck() && System.nanoTime() < deadlineNs) {
      TimeUnit.MILLISECONDS.sleep(100);
    }
  }

  @AfterEach
  void stopController() throws IOException {
    controller.destroyForcibly();
    for (RawHttpConnection connection : connections) {
      connection.close();
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private boolean respondsToHealthCheck() {
    try (RawHttpConnection connection = new RawHttpConnection(address, HEALTH_CHECK_TIMEOUT_MS)) {
      connection.send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      return connection.readResponse().status() > 0;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends up to {@code count} requests; ends at the first connection that can't be opened. */
  private void sendIncompleteRequests(int count, int closeTimeoutMs) {
    for (int number = 0; number < count; number++) {
      String request = INCOMPLETE_REQUESTS.get(number % INCOMPLETE_REQUESTS.size());
      try {
        RawHttpConnection connection = new RawHttpConnection(address, closeTimeoutMs);
        connections.add(connection);
        connection.send(request.getBytes(StandardCharsets.US_ASCII));
      } catch (IOException e) {
        return;
      }
    }
  }

  @Test
  void endsEachIncompleteRequestWithinTheTimeLimit() throws IOException {
    sendIncompleteRequests(300, REQUEST_TIMEOUT_MS + CLOSE_MARGIN_MS);
    assertThat(respondsToHealthCheck()).isTrue();
    for (RawHttpConnection connection : connections) {
      assertThat(connection.awaitClose()).isTrue();
    }
    assertThat(respondsToHealthCheck()).isTrue();
  }

  @Tag("known-red")
  @Test
  void servesOthersDuringBurstsOfIncompleteRequests() throws Exception {
    int unanswered = 0;
    int checks = 0;
    for (int burst = 0; burst < 3; burst++) {
      sendIncompleteRequests(MAX_SOCKETS, HEALTH_CHECK_TIMEOUT_MS);
      for (int check = 0; check < 3; check++) {
        checks++;
        unanswered += respondsToHealthCheck() ? 0 : 1;
      }
    }
    TimeUnit.MILLISECONDS.sleep(REQUEST_TIMEOUT_MS + CLOSE_MARGIN_MS);
    SoftAssertions softly = new SoftAssertions();
    softly.assertThat(unanswered).as("unanswered health checks of " + checks).isZero();
    softly.assertThat(controller.isAlive()).as("controller runs").isTrue();
    softly.assertThat(respondsToHealthCheck()).as("served after the bursts").isTrue();
    softly
        .assertThat(Files.readAllLines(log).stream().limit(1_000).collect(Collectors.toList()))
        .as("log lines")
        .hasSizeLessThan(100);
    softly.assertAll();
  }

  /** The heads of requests together are larger than the controller's heap. */
  @Tag("known-red")
  @Test
  void survivesLargeIncompleteHeads() throws Exception {
    byte[] head =
        ("GET /up HTTP/1.1\r\nA: " + "a".repeat(900_000)).getBytes(StandardCharsets.US_ASCII);
    for (int number = 0; number < 300 && controller.isAlive(); number++) {
      try {
        RawHttpConnection connection = new RawHttpConnection(address, HEALTH_CHECK_TIMEOUT_MS);
        connections.add(connection);
        connection.send(head);
      } catch (IOException e) {
        // The controller may close a connection whose head is too large.
      }
    }
    assertThat(controller.isAlive()).as("controller runs").isTrue();
    assertThat(respondsToHealthCheck()).isTrue();
  }
}
