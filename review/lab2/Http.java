import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Servers and calls of HTTP/1.1 on loopback. */
final class Http {
  /** An answer; status 0 stands for none. */
  record Answer(int status, String body, double retryAfterS) {}

  /** Answers a request; null closes the connection without an answer. */
  interface Handler {
    Answer handle(String method, String path, Map<String, String> query, String body)
        throws InterruptedException;
  }

  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(4))
          .executor(Executors.newCachedThreadPool(Http::daemon))
          .build();

  private Http() {}

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  static Answer json(int status, Object body) {
    return new Answer(status, Json.write(body), 0);
  }

  static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Starts a server on a free port and returns its address. */
  static HttpServer serve(Handler handler) {
    try {
      HttpServer server =
          HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
      server.setExecutor(Executors.newCachedThreadPool(Http::daemon));
      server.createContext("/", exchange -> answer(exchange, handler));
      server.start();
      return server;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  static String address(HttpServer server) {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static void answer(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Map<String, String> query = new HashMap<>();
      String text = exchange.getRequestURI().getQuery();
      for (String pair : text == null ? new String[0] : text.split("&")) {
        int equals = pair.indexOf('=');
        query.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
      Answer answer =
          handler.handle(
              exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
      if (answer == null) {
        return;
      }
      byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
      if (bytes.length > 0) {
        exchange.getResponseBody().write(bytes);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      e.printStackTrace();
      throw e;
    }
  }

  /** Sends a request and waits for its answer; status 0 if none came in time. */
  static Answer call(String address, String method, String path, Object body, double timeoutS) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis((long) (1000 * timeoutS)))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(Json.write(body)));
    try {
      HttpResponse<String> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
      double retryAfterS =
          response.headers().firstValue("Retry-After").map(Double::parseDouble).orElse(0.0);
      return new Answer(response.statusCode(), response.body(), retryAfterS);
    } catch (IOException e) {
      return new Answer(0, "", 0);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, "", 0);
    }
  }
}
