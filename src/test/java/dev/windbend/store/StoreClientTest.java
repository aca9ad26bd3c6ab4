package dev.windbend.store;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.runtime.ManualHttpClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks what the client makes of responses of the state service. */
class StoreClientTest {
  private static final int MAX_WRITES = 8;
  private static final long LEASE = 7;

  private final ManualHttpClient http = new ManualHttpClient();
  private final StoreClient store =
      new StoreClient(new ManualEventLoop(100_000), http, "state:1", 1_000, 1_000, MAX_WRITES, 1);
  private final List<Object> results = new ArrayList<>();

  private void call(String name) {
    switch (name) {
      case "commit" ->
          store.commit(
              new TransactionBuilder().ifAbsent("a").put("a", List.of()),
              outcome -> results.add(outcome.kind()));
      case "get" -> store.get("a", result -> results.add(result.status()));
      case "list" -> store.list("a", null, result -> results.add(result.answered()));
      case "acquire" -> store.acquireLease(1_000, lease -> results.add(lease.isPresent()));
      case "renew" -> store.renewLease(LEASE, results::add);
      case "watch" -> store.watch("a", 3, 1_000, result -> results.add(result.status()));
      default -> throw new IllegalArgumentException(name);
    }
  }

  /** A response counts as success only if it has the body that the protocol gives. */
  @ParameterizedTest(name = "{0}: {1} {2} means {3}")
  @CsvSource(
      delimiter = '|',
      emptyValue = "",
      value = {
        "commit|200|{\"ledger\":9}|APPLIED",
        "commit|200|''|UNKNOWN",
        "commit|200|{}|UNKNOWN",
        "commit|200|{\"ledger\":|UNKNOWN",
        "commit|200|[]|UNKNOWN",
        "commit|201|{\"ledger\":9}|UNKNOWN",
        "commit|409|{\"failed\":[\"a\"],\"ledger\":9}|CONDITION_FAILED",
        "commit|409|''|REFUSED",
        "get|200|{\"path\":\"a\",\"v\":[],\"stamp\":3}|FOUND",
        "get|200|''|UNAVAILABLE",
        "get|200|{}|UNAVAILABLE",
        "get|200|{\"path\":\"a\",\"v\":[|UNAVAILABLE",
        "get|404|{\"ledger\":9}|NOT_FOUND",
        "get|404|''|UNAVAILABLE",
        "get|404|{}|UNAVAILABLE",
        "list|200|{\"pairs\":[],\"has_next\":false,\"ledger\":9}|true",
        "list|200|''|false",
        "list|200|{}|false",
        "list|200|{\"pairs\":[]}|false",
        "acquire|200|{\"permit\":7}|true",
        "acquire|200|''|false",
        "acquire|200|{}|false",
        "renew|200|{\"permit\":7}|RENEWED",
        "renew|200|{}|RENEWED",
        "renew|200|{\"permit\":8}|UNKNOWN",
        "renew|200|''|UNKNOWN",
        "renew|200|{\"per|UNKNOWN",
        "renew|404|''|EXPIRED",
        "watch|200|{\"ledger\":9,\"log\":[]}|OK",
        "watch|200|''|UNAVAILABLE",
        "watch|200|{}|UNAVAILABLE",
        "watch|200|{\"ledger\":9,\"log\":[{}]}|UNAVAILABLE",
        "watch|200|{\"ledger\":9,\"log\":[{\"set\":\"a\",\"v\":1}]}|UNAVAILABLE",
        "watch|200|{\"ledger\":9,\"log\":[null]}|UNAVAILABLE",
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
