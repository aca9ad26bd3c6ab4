package dev.windbend.zone;

import static dev.windbend.JsonAssertions.assertDeserializesTo;
import static dev.windbend.JsonAssertions.assertRoundTrip;
import static dev.windbend.JsonAssertions.assertSerializesTo;
import static dev.windbend.JsonAssertions.parseTree;
import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import dev.windbend.job.Urgency;
import dev.windbend.runtime.Json;
import dev.windbend.store.VersionedValue;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the formats of zones' stored records, of the zone status and of the zone metrics. */
class ZoneMessagesTest {
  static Stream<Arguments> messages() {
    return Stream.of(
        arguments(
            "stored: zone",
            new ZoneRecord(
                ZoneState.UNREACHABLE, 1_760_000_000_123L, 3, List.of("wk-000412", "wk-000001")),
            """
            {"state":"unreachable","since_ms":1760000000123,"losses":3,
            "displaced":["wk-000412","wk-000001"]}"""),
        arguments(
            "stored: zone without displaced jobs",
            new ZoneRecord(ZoneState.HEALTHY, 0, 0, null),
            """
            {"state":"healthy","since_ms":0,"losses":0,"displaced":[]}"""),
        arguments(
            "stored: zone without a state",
            new ZoneRecord(null, 1, 2, List.of()),
            """
            {"since_ms":1,"losses":2,"displaced":[]}"""),
        arguments(
            "zone status for operators",
            new ZoneStatus(1, "a", ZoneState.DEGRADED, 2, 3, 4, 5, 6, 7, 8, 9),
            """
            {"shard":1,"zone":"a","state":"degraded","since_s":2,"heard":3,"silent":4,"deaf":5,
            "losses":6,"return_in_s":7,"others_lost":8,"displaced":9}"""));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("messages")
  void matchesWireFormat(String description, Object object, String json) {
    assertRoundTrip(object, json);
  }

  @Test
  void readsRecordWithMissingFields() {
    assertDeserializesTo("{}", ZoneRecord.class, new ZoneRecord(null, 0, 0, List.of()));
    assertDeserializesTo(
        "{\"state\":null,\"displaced\":null}",
        ZoneRecord.class,
        new ZoneRecord(null, 0, 0, List.of()));
  }

  /** A record written by a later version may have a state that this version does not know. */
  @Test
  void treatsRecordWithUnknownOrMissingStateAsAbsent() {
    assertThat(ZoneRecord.read(new VersionedValue(parseTree("{\"state\":\"frozen\"}"), 1)))
        .isNull();
    assertThat(ZoneRecord.read(new VersionedValue(parseTree("{\"losses\":1}"), 1))).isNull();
    assertThat(ZoneRecord.read(null)).isNull();
  }

  @Test
  void keyContainsShardAndZone() {
    assertThat(ZoneRecord.key(2, "a")).isEqualTo("w/z/2/a");
  }

  static Stream<Arguments> states() {
    return Stream.of(
        arguments(ZoneState.HEALTHY, "healthy"),
        arguments(ZoneState.DEGRADED, "degraded"),
        arguments(ZoneState.UNREACHABLE, "unreachable"),
        arguments(ZoneState.RETURNING, "returning"));
  }

  @ParameterizedTest
  @MethodSource("states")
  void writesAndReadsStateByItsLabel(ZoneState state, String label) {
    assertSerializesTo(state, "\"" + label + "\"");
    assertThat(Json.read(parseTree("\"" + label + "\""), ZoneState.class)).isEqualTo(state);
    assertThat(state.label()).isEqualTo(label);
  }

  @Test
  void hasFourStates() {
    assertThat(ZoneState.values()).hasSize(4);
  }

  @Test
  void exposesExpectedMetricNames() {
    ZoneMetrics metrics = new ZoneMetrics();
    metrics.recordJobRestarted(Urgency.PRODUCTION, 1);
    metrics.recordJobRestarted(Urgency.URGENT, 1);
    metrics.recordJobRestarted(Urgency.STANDARD, 1);
    metrics.recordJobRestarted(Urgency.IDLE, 1);
    assertThat(metrics.values().keySet())
        .containsExactlyInAnyOrder(
            "windbend.zone.losses",
            "windbend.zone.relapses",
            "windbend.zone.evacuated",
            "windbend.zone.taken_back",
            "windbend.zone.runs_again_ms.production.count",
            "windbend.zone.runs_again_ms.production.p50",
            "windbend.zone.runs_again_ms.production.p99",
            "windbend.zone.runs_again_ms.production.max",
            "windbend.zone.runs_again_ms.urgent.count",
            "windbend.zone.runs_again_ms.urgent.p50",
            "windbend.zone.runs_again_ms.urgent.p99",
            "windbend.zone.runs_again_ms.urgent.max",
            "windbend.zone.runs_again_ms.standard.count",
            "windbend.zone.runs_again_ms.standard.p50",
            "windbend.zone.runs_again_ms.standard.p99",
            "windbend.zone.runs_again_ms.standard.max",
            "windbend.zone.runs_again_ms.idle.count",
            "windbend.zone.runs_again_ms.idle.p50",
            "windbend.zone.runs_again_ms.idle.p99",
            "windbend.zone.runs_again_ms.idle.max");
  }

  @Test
  void countsEachEventUnderItsMetricName() {
    ZoneMetrics metrics = new ZoneMetrics();
    metrics.recordLoss(true);
    metrics.recordLoss(false);
    metrics.recordLoss(false);
    metrics.recordEvacuatedMachines(4);
    metrics.recordReadmittedMachines(5);
    assertThat(metrics.values())
        .containsEntry("windbend.zone.losses", 3.0)
        .containsEntry("windbend.zone.relapses", 1.0)
        .containsEntry("windbend.zone.evacuated", 4.0)
        .containsEntry("windbend.zone.taken_back", 5.0);
  }

  @ParameterizedTest
  @EnumSource(ZoneState.class)
  void readsRecordWithEachState(ZoneState state) {
    ZoneRecord record = new ZoneRecord(state, 1, 2, List.of());
    assertThat(ZoneRecord.read(new VersionedValue(Json.tree(record), 1))).isEqualTo(record);
  }
}
