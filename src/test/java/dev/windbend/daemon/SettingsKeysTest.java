package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.shard.Policy;
import dev.windbend.zone.ZonePolicy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Each key of the settings files is read into the setting that it belongs to. */
class SettingsKeysTest {
  private static final List<String> ZONES = List.of("a", "b");

  static final String PLATFORM_TOML =
      """
      host_name = "mast-0"
      domain = "b"
      client_listen = "10.0.0.1:8080"
      peer_bind = "10.0.0.1:8081"
      unknown = 1
      [[seeds]]
      host_name = "mast-1"
      addr = "10.0.0.2:8081"
      unknown = 1
      [services]
      cloud = "10.2.0.2:8443"
      state = "10.2.0.1:2379"
      unknown = 1
      [facts]
      size = 3
      zones = ["a", "b"]
      unknown = 1
      [[facts.teams]]
      name = "vision"
      cpus = 1.5
      cpus_max = 2.5
      gpus = 3.5
      gpus_max = 4.5
      unknown = 1
      [[facts.objectives]]
      kind = "deadline"
      class = "train"
      within_s = 5.5
      times = 6.5
      unknown = 1
      [[facts.objectives]]
      kind = "guarantee"
      [facts.workers]
      report_s = 7.5
      lease_s = 8.5
      cancel_s = 9.5
      unknown = 1
      [facts.state]
      rps = 10.5
      write_rps = 11.5
      value_kb = 12.5
      txn_ops = 13
      unknown = 1
      [facts.cloud]
      rps = 14.5
      list_lag_s = 15.5
      unknown = 1
      [others]
      unknown = 1
      """;

  /** The file contains every key, and in each table an unknown key, which must be ignored. */
  @Test
  void readsEveryPlatformSettingsKey() throws InvalidSettingsException {
    assertThat(SettingsReader.parse(PLATFORM_TOML))
        .isEqualTo(
            new Settings(
                "mast-0",
                "b",
                "10.0.0.1:8080",
                "10.0.0.1:8081",
                List.of(new Settings.Peer("mast-1", "10.0.0.2:8081")),
                new Settings.Services("10.2.0.2:8443", "10.2.0.1:2379"),
                new Settings.Deployment(
                    3,
                    List.of("a", "b"),
                    List.of(new Settings.Team("vision", 1.5, 2.5, 3.5, 4.5)),
                    List.of(
                        new Settings.Objective(
                            "deadline", "train", OptionalDouble.of(5.5), OptionalDouble.of(6.5)),
                        new Settings.Objective(
                            "guarantee", null, OptionalDouble.empty(), OptionalDouble.empty())),
                    new Settings.Workers(7.5, 8.5, 9.5),
                    new Settings.StateService(10.5, 11.5, 12.5, 13),
                    new Settings.Cloud(14.5, 15.5))));
  }

  private static final Policy DEFAULT_POLICY =
      new Policy(
          10_000,
          true,
          60_000,
          4,
          4_000,
          true,
          0.7,
          new ZonePolicy(false, List.of(), 3_000, 3_000, 10_000, 300_000, 600_000, 5, 5_000));

  /** The file contains every key, and in each section an unknown key, which must be ignored. */
  @Test
  void readsEveryOperatorSettingsKey() throws InvalidSettingsException {
    String ini =
        """
        [plan]
        period_s = 1.5
        rounds_on_events = false
        block_s = 2.5
        implied_due = 3.5
        due_from_aims = false
        unknown = 1
        [shard]
        hold_s = 4.5
        unknown = 1
        [worker]
        idle_hold = 5.5
        unknown = 1
        [zone]
        enabled = true
        zones = b
        lost_after_s = 6.5
        return_after_s = 7.5
        backoff_s = 8.5
        longest_backoff_s = 9.5
        decay_s = 10.5
        return_per_s = 11.5
        widen_s = 12.5
        unknown = 1
        [others]
        unknown = 1
        """;
    ZonePolicy zones =
        new ZonePolicy(true, List.of("b"), 6_500, 7_500, 8_500, 9_500, 10_500, 11.5, 12_500);
    assertThat(OperatorSettings.parse(ini, ZONES))
        .isEqualTo(new Policy(1_500, false, 2_500, 3.5, 4_500, false, 5.5, zones));
  }

  @Test
  void usesDefaultsForMissingOperatorSettings() throws InvalidSettingsException {
    assertThat(OperatorSettings.parse("", ZONES)).isEqualTo(DEFAULT_POLICY);
    assertThat(OperatorSettings.defaults()).isEqualTo(DEFAULT_POLICY);
  }

  /** The file in the repository states that it contains the defaults, except for enabled. */
  @Test
  void shippedZoneSettingsFileContainsDefaults() throws InvalidSettingsException {
    Path file = Path.of("deploy", "zones.ini");
    ZonePolicy zones =
        new ZonePolicy(true, List.of(), 3_000, 3_000, 10_000, 300_000, 600_000, 5, 5_000);
    assertThat(OperatorSettings.read(file, ZONES))
        .isEqualTo(new Policy(10_000, true, 60_000, 4, 4_000, true, 0.7, zones));
    assertThat(file)
        .content(StandardCharsets.UTF_8)
        .containsSubsequence(
            "[zone]",
            "enabled = true",
            "lost_after_s = 3",
            "return_after_s = 3",
            "backoff_s = 10",
            "longest_backoff_s = 300",
            "decay_s = 600",
            "return_per_s = 5",
            "widen_s = 5");
  }
}
