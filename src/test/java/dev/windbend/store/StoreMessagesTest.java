package dev.windbend.store;

import static dev.windbend.JsonAssertions.assertDeserializesTo;
import static dev.windbend.JsonAssertions.assertRoundTrip;
import static dev.windbend.JsonAssertions.assertSerializesTo;
import static dev.windbend.JsonAssertions.parseTree;
import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.Json;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the JSON of messages to and from the state service, and of stored pages of entries. */
class StoreMessagesTest {
  static Stream<Arguments> messages() {
    return Stream.of(
        arguments(
            "stored key",
            new StoreMessages.StoredKey("a/b", parseTree("{\"k\":1}"), 412),
            """
            {"path":"a/b","v":{"k":1},"stamp":412}"""),
        arguments(
            "key list",
            new StoreMessages.KeyList(
                List.of(new StoreMessages.StoredKey("c/8", parseTree("true"), 430)), true, 431),
            """
            {"pairs":[{"path":"c/8","v":true,"stamp":430}],"has_next":true,"ledger":431}"""),
        arguments(
            "result of an applied transaction",
            new StoreMessages.TransactionResult(432, null),
            """
            {"ledger":432}"""),
        arguments(
            "result of a transaction with failed conditions",
            new StoreMessages.TransactionResult(431, List.of("a/b", "c/d")),
            """
            {"ledger":431,"failed":["a/b","c/d"]}"""),
        arguments(
            "transaction",
            new StoreMessages.Transaction(
                List.of(
                    new StoreMessages.Condition("a/b", 0), new StoreMessages.Condition("a/c", 412)),
                List.of(
                    new StoreMessages.Write("a/b", parseTree("{\"k\":1}"), 7L, null, null),
                    new StoreMessages.Write("a/c", parseTree("[2]"), null, null, null),
                    new StoreMessages.Write(null, null, null, "c/d", null))),
            """
            {"when":[{"path":"a/b","stamp":0},{"path":"a/c","stamp":412}],
            "then":[{"set":"a/b","v":{"k":1},"permit":7},{"set":"a/c","v":[2]},
            {"remove":"c/d"}]}"""),
        arguments(
            "empty transaction",
            new StoreMessages.Transaction(List.of(), List.of()),
            """
            {"when":[],"then":[]}"""),
        arguments(
            "lease request",
            new StoreMessages.LeaseRequest(5_000),
            """
            {"life_ms":5000}"""),
        arguments(
            "lease grant",
            new StoreMessages.LeaseGrant(7),
            """
            {"permit":7}"""),
        arguments(
            "changes",
            new StoreMessages.WatchEvents(
                433,
                List.of(
                    new StoreMessages.Write("c/9", parseTree("{\"k\":1}"), null, null, 433L),
                    new StoreMessages.Write(null, null, null, "c/d", 432L))),
            """
            {"ledger":433,
            "log":[{"set":"c/9","v":{"k":1},"stamp":433},{"remove":"c/d","stamp":432}]}"""),
        arguments(
            "stored page",
            new PageRecord(entries("wk-000001:2", "{\"a\":1}", "wk-000001/0", "{\"d\":\"BYA=\"}")),
            """
            {"e":{"wk-000001:2":{"a":1},"wk-000001/0":{"d":"BYA="}}}"""),
        arguments("stored page without entries", new PageRecord(Map.of()), "{\"e\":{}}"),
        arguments("stored page with entries missing", new PageRecord(null), "{}"));
  }

  private static Map<String, JsonNode> entries(
      String id, String json, String otherId, String otherJson) {
    Map<String, JsonNode> all = new LinkedHashMap<>();
    all.put(id, parseTree(json));
    all.put(otherId, parseTree(otherJson));
    return all;
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("messages")
  void matchesWireFormat(String name, Object object, String json) {
    assertRoundTrip(object, json);
  }

  @Test
  void readsMessagesWithMissingFields() {
    assertDeserializesTo(
        "{\"ledger\":7}",
        StoreMessages.TransactionResult.class,
        new StoreMessages.TransactionResult(7, null));
    assertDeserializesTo(
        "{\"pairs\":[],\"ledger\":7}",
        StoreMessages.KeyList.class,
        new StoreMessages.KeyList(List.of(), false, 7));
    assertDeserializesTo(
        "{\"ledger\":7}", StoreMessages.WatchEvents.class, new StoreMessages.WatchEvents(7, null));
    assertDeserializesTo(
        "{}", StoreMessages.LeaseRenewed.class, new StoreMessages.LeaseRenewed(null));
    assertDeserializesTo(
        "{\"set\":null,\"permit\":null,\"remove\":null,\"stamp\":null}",
        StoreMessages.Write.class,
        new StoreMessages.Write(null, null, null, null, null));
    // The state service also sends fields that the client does not use, such as the lease.
    assertDeserializesTo(
        "{\"path\":\"a/b\",\"v\":{\"k\":1},\"stamp\":412,\"permit\":7}",
        StoreMessages.StoredKey.class,
        new StoreMessages.StoredKey("a/b", parseTree("{\"k\":1}"), 412));
  }

  @ParameterizedTest(name = "{0}")
  @ValueSource(
      classes = {
        StoreMessages.StoredKey.class,
        StoreMessages.MissingKey.class,
        StoreMessages.KeyList.class,
        StoreMessages.TransactionResult.class,
        StoreMessages.LeaseGrant.class,
        StoreMessages.WatchEvents.class,
      })
  void rejectsResponseWithoutItsRequiredFields(Class<?> type) {
    assertThat(Json.read("{}".getBytes(StandardCharsets.UTF_8), type)).isNull();
  }

  /** Null fields are omitted, also within values. Of two conditions on a key the first is kept. */
  @Test
  void buildsTransaction() {
    TransactionBuilder transaction =
        new TransactionBuilder()
            .ifVersion("a", 3)
            .ifVersion("a", 4)
            .putWithLease("a", new StoreMessages.TransactionResult(1, null), 9)
            .put("b", new StoreMessages.LeaseGrant(2))
            .delete("c");
    assertSerializesTo(
        transaction.build(),
        """
        {"when":[{"path":"a","stamp":3}],
        "then":[{"set":"a","v":{"ledger":1},"permit":9},{"set":"b","v":{"permit":2}},
        {"remove":"c"}]}""");
  }
}
