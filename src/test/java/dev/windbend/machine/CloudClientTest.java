package dev.windbend.machine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.runtime.ManualHttpClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks what the client makes of responses of the cloud. */
class CloudClientTest {
  private final ManualHttpClient http = new ManualHttpClient();
  private final CloudClient cloud =
      new CloudClient(new ManualEventLoop(100_000), http, "cloud:1", 100, 1);
  private final List<Object> results = new ArrayList<>();

  private void call(String name) {
    switch (name) {
      case "create" ->
          cloud.createInstances(
              new CloudMessages.CreateInstances("p0-1-1", "g8", "a", true, 2),
              (result, machines) -> results.add(result + " " + machines));
      case "terminate" -> cloud.terminateInstances(List.of("host-1"), () -> true, results::add);
      case "list" -> cloud.listInstances(list -> results.add(list.isPresent()));
      case "types" -> cloud.listTypes(types -> results.add(types.isPresent()));
      default -> throw new IllegalArgumentException(name);
    }
  }

  /** Where the protocol gives a body, a response without it is no success. */
  @ParameterizedTest(name = "{0}: {1} {2} means {3}")
  @CsvSource(
      delimiter = '|',
      emptyValue = "",
      value = {
        "create|200|{\"trucks\":[\"host-1\"]}|GRANTED [host-1]",
        "create|200|''|UNKNOWN []",
        "create|200|{}|UNKNOWN []",
        "create|200|{\"trucks\":[\"ho|UNKNOWN []",
        "create|503|{\"error\":\"no capacity\"}|REFUSED []",
        "create|503|''|UNKNOWN []",
        "create|0|''|UNKNOWN []",
        "terminate|200|''|CONFIRMED",
        "terminate|503|''|UNKNOWN",
        "terminate|0|''|UNKNOWN",
        "list|200|{\"trucks\":[],\"has_next\":false}|true",
        "list|200|''|false",
        "list|200|{}|false",
        "types|200|''|false",
        "types|200|{\"rigs\":[]}|false",
      })
  void countsResponseAsSuccessOnlyWithItsBody(
      String name, int status, String body, String expectedResult) {
    call(name);
    http.responseCallbacks
        .get(0)
        .accept(new ClientResponse(status, body.getBytes(StandardCharsets.UTF_8)));
    assertThat(results).extracting(Object::toString).containsExactly(expectedResult);
  }
}
