import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server and client on the loopback interface. */
final class Http {
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  static {
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
    System.setProperty("sun.net.httpserver.idleInterval", "600");
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private Http() {}

  /** A response; status 0 means that there was none in time, or no connection. */
  record Reply(int status, String body, Map<String, String> headers) {
    static Reply of(int status, Object body) {
      return new Reply(status, Json.write(body), Map.of());
    }
  }

  record Request(String method, String path, Map<String, String> query, String body) {}

  interface Handler {
    /** Returns the reply; null to close the connection without one. */
    Reply handle(Request request) throws Exception;
  }

  /** Starts a server on a port; 0 selects a free one. */
  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 500);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
    return server;
  }

  private static void handle(HttpExchange exchange, Handler handler) throws IOException {
    try {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Map<String, String> query = new HashMap<>();
      String rawQuery = exchange.getRequestURI().getQuery();
      if (rawQuery != null) {
        for (String pair : rawQuery.split("&")) {
          int equals = pair.indexOf('=');
          query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
      }
      Reply reply =
          handler.handle(
              new Request(
                  exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body));
      if (reply == null) {
        exchange.close();
        return;
      }
      byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
      if (bytes.length > 0) {
        exchange.getResponseBody().write(bytes);
      }
      exchange.close();
    } catch (IOException e) {
      exchange.close(); // the client has gone
    } catch (Exception e) {
      e.printStackTrace();
      exchange.close();
    }
  }

  /** Sends one request over a connection of its own. */
  static Reply call(String address, String method, String path, String body, int timeoutMs) {
    long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(
              InetAddress.getByName(address.substring(0, colon)),
              Integer.parseInt(address.substring(colon + 1))),
          timeoutMs);
      byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
      String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: "
              + address
              + "\r\nConnection: close\r\n"
              + (body == null
                  ? ""
                  : "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n")
              + "\r\n";
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      out.write(bytes);
      socket.getOutputStream().write(out.toByteArray());
      socket.getOutputStream().flush();
      return read(socket, deadline);
    } catch (IOException e) {
      return new Reply(0, "", Map.of());
    }
  }

  private static Reply read(Socket socket, long deadline) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    byte[] chunk = new byte[65_536];
    while (true) {
      Reply reply = complete(received.toString(StandardCharsets.UTF_8), received.size(), false);
      if (reply != null) {
        return reply;
      }
      long leftMs = (deadline - System.nanoTime()) / 1_000_000;
      if (leftMs <= 0) {
        return new Reply(0, "", Map.of());
      }
      socket.setSoTimeout((int) leftMs);
      int count = in.read(chunk);
      if (count < 0) {
        reply = complete(received.toString(StandardCharsets.UTF_8), received.size(), true);
        return reply == null ? new Reply(0, "", Map.of()) : reply;
      }
      received.write(chunk, 0, count);
    }
  }

  private static Reply complete(String text, int size, boolean ended) {
    int headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
      return null;
    }
    String[] lines = text.substring(0, headEnd).split("\r\n");
    int status = Integer.parseInt(lines[0].split(" ")[1]);
    Map<String, String> headers = new HashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      headers.put(
          lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT),
          lines[i].substring(colon + 1).trim());
    }
    String body = text.substring(headEnd + 4);
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      StringBuilder out = new StringBuilder();
      int at = 0;
      while (true) {
        int end = body.indexOf("\r\n", at);
        if (end < 0) {
          return null;
        }
        int length = Integer.parseInt(body.substring(at, end).trim(), 16);
        if (length == 0) {
          return new Reply(status, out.toString(), headers);
        }
        if (body.length() < end + 2 + length + 2) {
          return null;
        }
        out.append(body, end + 2, end + 2 + length);
        at = end + 2 + length + 2;
      }
    }
    String length = headers.get("content-length");
    if (length != null
        ? body.getBytes(StandardCharsets.UTF_8).length < Integer.parseInt(length)
        : !ended) {
      return null;
    }
    return new Reply(status, body, headers);
  }
}
