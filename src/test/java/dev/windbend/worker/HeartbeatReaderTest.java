package dev.windbend.worker;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeartbeatReaderTest {
  private static final String HEAD =
      "\"truck\":\"host-1\",\"addr\":\"10.1.0.2:9000\",\"rig\":\"g8\",\"yard\":\"a\",";

  private static byte[] bytes(String json) {
    return json.replace("HEAD", HEAD).getBytes(StandardCharsets.UTF_8);
  }

  /** The streaming parser must return the same heartbeat as the reflective mapping to records. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{HEAD\"standby\":true,\"shift\":1,\"tally\":88,\"baton\":41,\"recall_s\":null,\"drops\":["
            + "{\"drop\":\"wk-000412/3\",\"run\":2,\"status\":\"running\"},"
            + "{\"drop\":\"wk-000398/0\",\"run\":1,\"status\":\"exited\",\"cause\":\"halted\","
            + "\"saved\":true}]}",
        "{\"drops\":[],\"recall_s\":12.5,\"baton\":0,\"tally\":0,\"shift\":3,HEAD\"new\":"
            + "{\"a\":[1,{\"b\":2}]},\"standby\":false}",
        "{HEAD\"shift\":1,\"drops\":[{\"drop\":\"wk-1/0\",\"new\":[[]],\"status\":\"pulling\","
            + "\"cause\":null,\"saved\":null,\"run\":9007199254740993}]}",
        "{HEAD\"shift\":1,\"recall_s\":3,\"addr\":null,\"standby\":null,\"drops\":[]}",
        " {HEAD\"shift\":1,\"drops\":[]} \n",
      })
  void readsHeartbeatLikeRecordMapping(String json) {
    WorkerMessages.Heartbeat expected = Json.read(bytes(json), WorkerMessages.Heartbeat.class);
    assertThat(expected).isNotNull();
    assertThat(HeartbeatReader.read(bytes(json))).isEqualTo(expected);
  }

  @Test
  void ignoresUnknownFieldsOfAnyDepthAndLength() {
    for (String value : List.of("[".repeat(20_000) + "]".repeat(20_000), "7".repeat(20_000))) {
      byte[] heartbeat = bytes("{HEAD\"shift\":1,\"new\":" + value + ",\"drops\":[]}");
      assertThat(HeartbeatReader.read(heartbeat)).isNotNull();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "[]",
        "7",
        "{HEAD\"shift\":1,\"drops\":[]",
        "{HEAD\"shift\":1,\"drops\":[]} {}",
        "{HEAD\"shift\":1}",
        "{HEAD\"shift\":1,\"drops\":null}",
        "{HEAD\"shift\":1,\"drops\":{}}",
        "{HEAD\"shift\":1,\"drops\":[null]}",
        "{HEAD\"shift\":1,\"drops\":[7]}",
        "{HEAD\"shift\":1,\"drops\":[{\"run\":1,\"status\":\"running\"}]}",
        "{HEAD\"shift\":1,\"drops\":[{\"drop\":\"wk-1/0\",\"run\":1}]}",
        "{HEAD\"shift\":1,\"drops\":[{\"drop\":{},\"run\":1,\"status\":\"running\"}]}",
        "{HEAD\"shift\":1,\"drops\":[{\"drop\":\"wk-1/0\",\"run\":1,\"status\":\"running\"]}",
        "{HEAD\"shift\":0,\"drops\":[]}",
        "{HEAD\"drops\":[]}",
        "{HEAD\"shift\":\"x\",\"drops\":[]}",
        "{HEAD\"shift\":1.5,\"drops\":[]}",
        "{HEAD\"shift\":99999999999999999999,\"drops\":[]}",
        "{HEAD\"shift\":1,\"tally\":-1,\"drops\":[]}",
        "{HEAD\"shift\":1,\"baton\":-1,\"drops\":[]}",
        "{HEAD\"shift\":1,\"standby\":7,\"drops\":[]}",
        "{HEAD\"shift\":1,\"recall_s\":\"soon\",\"drops\":[]}",
        "{\"rig\":\"g8\",\"yard\":\"a\",\"shift\":1,\"drops\":[]}",
      })
  void returnsNullForInvalidHeartbeat(String json) {
    assertThat(HeartbeatReader.read(bytes(json))).isNull();
  }

  @Test
  void returnsNullForBytesThatAreNotText() {
    assertThat(HeartbeatReader.read(new byte[] {(byte) 0xff, 0, '{'})).isNull();
  }
}
