package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.RequestHandler;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestRouterTest {
  private final RequestRouter router =
      new RequestRouter()
          .get("/read", respondWith(201))
          .post("/write", respondWith(202))
          .subtree(path -> path.startsWith("/tree"), respondWith(203));

  private static RequestHandler respondWith(int status) {
    return (request, done) -> done.accept(ServerResponse.ofStatus(status));
  }

  @ParameterizedTest(name = "{0} {1}: {2}")
  @CsvSource({
    "GET,/read,201",
    "POST,/read,405",
    "POST,/write,202",
    "GET,/write,405",
    "GET,/tree,203",
    "PUT,/tree/leaf,203",
    "GET,/read/more,404",
    "GET,/,404",
  })
  void routesByPathAndMethod(String method, String path, int status) {
    List<Integer> statuses = new ArrayList<>();
    router.handle(
        new ServerRequest(method, path, Map.of(), new byte[0]),
        response -> statuses.add(response.status()));
    assertThat(statuses).containsExactly(status);
  }
}
