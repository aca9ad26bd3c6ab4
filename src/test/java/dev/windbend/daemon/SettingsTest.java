package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.windbend.shard.Policy;
import dev.windbend.zone.ZonePolicy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Reading and validation of the platform's and the operators' settings files. */
class SettingsTest {
  private static final List<String> ZONES = List.of("a", "b");

  private static final String VALID_TOML =
      """
      host_name = "mast-0"
      unknown = 7
      client_listen = "10.0.0.1:8080"
      peer_bind = "10.0.0.1:8081"
      [services]
      cloud = "10.2.0.2:8443"
      state = "10.2.0.1:2379"
      [facts]
      size = 3
      zones = ["a"]
      [[facts.teams]]
      name = "t"
      cpus = 1.0
      cpus_max = 2.0
      [facts.workers]
      report_s = 3.0
      lease_s = 30.0
      cancel_s = 50.0
      [facts.state]
      rps = 120.0
      write_rps = 25.0
      txn_ops = 8
      [facts.cloud]
      rps = 6.0
      """;

  @Test
  void readsPlatformSettingsAndIgnoresUnknownKeys() throws InvalidSettingsException {
    Settings settings = SettingsReader.parse(VALID_TOML);
    assertThat(settings.controllerName()).isEqualTo("mast-0");
    assertThat(settings.deployment().teams().get(0).maxCores()).isEqualTo(2);
    assertThat(settings.peers()).isEmpty();
  }

  @ParameterizedTest(name = "{0} -> {1}: message contains {2}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "host_name = \"mast-0\"||host_name",
        "\"10.0.0.1:8080\"|\"10.0.0.1\"|client_listen",
        "\"10.2.0.1:2379\"|\"10.2.0.1:99999\"|services.state",
        "cpus_max = 2.0|cpus_max = 0.5|cpus of t",
        "size = 3|size = \"three\"|size",
        "report_s = 3.0|report_s = 0.0|report_s",
        "[facts.cloud]|[facts.clouds]|facts.cloud",
        "rps = 120.0|rps = = 1|not TOML",
      })
  void rejectsInvalidPlatformSettingsWithKey(
      String original, String replacement, String expectedMessagePart) {
    assertThat(VALID_TOML).contains(original);
    assertThatThrownBy(
            () ->
                SettingsReader.parse(
                    VALID_TOML.replace(original, replacement == null ? "" : replacement)))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining(expectedMessagePart);
  }

  /**
   * Guards against reading a limit of 0 as no capacity at all: every job of a guest team, whose
   * limits are 0, was rejected with 422.
   */
  @Test
  void treatsZeroTeamLimitAsUnlimited() throws InvalidSettingsException {
    Settings settings =
        SettingsReader.parse(
            VALID_TOML.replace("cpus = 1.0", "cpus = 0.0").replace("_max = 2.0", "_max = 0.0"));
    assertThat(settings.deployment().teams().get(0).guaranteedCores()).isZero();
    assertThat(settings.deployment().teams().get(0).maxCores()).isInfinite();
    assertThat(settings.deployment().teams().get(0).maxGpus()).isInfinite();
  }

  @Test
  void operatorSettingsOverrideDefaults() throws InvalidSettingsException {
    Policy policy =
        OperatorSettings.parse("[plan]\nperiod_s = 5\nrounds_on_events = false\n", ZONES);
    assertThat(policy.cyclePeriodMs()).isEqualTo(5_000);
    assertThat(policy.eventDrivenCycles()).isFalse();
    assertThat(policy.billingBlockMs()).isEqualTo(OperatorSettings.defaults().billingBlockMs());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "[plan]\nperiod_s = soon",
        "[plan]\nperiod_s = 0",
        "[plan]\nrounds_on_events = 1",
        "[shard]\nhold_s = -3",
        "[zone]\nenabled = yes",
        "[zone]\nbackoff_s = 0",
        "[zone]\nbackoff_s = 60\nlongest_backoff_s = 30",
        "[zone]\nreturn_per_s = 0",
        "[zone]\nzones = a, nowhere",
      })
  void rejectsInvalidOperatorSettings(String ini) {
    assertThatThrownBy(() -> OperatorSettings.parse(ini, ZONES))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining("must be");
  }

  /** The message contains section, key and range; for zones, it lists those of the deployment. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "widen_s = 5000|[zone] widen_s must be a number from 1.0 to 3600.0: 5000",
        "zones = nowhere|[zone] zones must be zones of the deployment, which are a, b: nowhere",
      })
  void rejectsInvalidZoneSettingsWithFullMessage(String line, String message) {
    assertThatThrownBy(() -> OperatorSettings.parse("[zone]\n" + line, ZONES))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessage(message);
  }

  @Test
  void enablesZoneMonitoringForListedZones() throws InvalidSettingsException {
    ZonePolicy zones = OperatorSettings.parse("[zone]\nenabled = true\nzones = b\n", ZONES).zones();
    assertThat(zones.enabled()).isTrue();
    assertThat(zones.monitoredZones()).containsExactly("b");
    assertThat(OperatorSettings.defaults().zones().enabled()).isFalse();
  }

  @Test
  void rejectsFormerSectionNameWithCurrentName() {
    assertThatThrownBy(() -> OperatorSettings.parse("[part]\nhold_s = 4", ZONES))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining("[shard]");
  }

  /** The exception carries section, key and expected values in addition to its message. */
  @ParameterizedTest(name = "{0}: section {1}, key {2}, expected {3}")
  @CsvSource(
      delimiter = '|',
      value = {
        "[zone]#widen_s = 5000|zone|widen_s|a number from 1.0 to 3600.0",
        "[plan]#rounds_on_events = 1|plan|rounds_on_events|true or false",
        "[zone]#zones = nowhere|zone|zones|zones of the deployment, which are a, b",
      })
  void reportsSectionKeyAndExpectedValuesOfInvalidOperatorSetting(
      String ini, String section, String key, String expected) {
    assertThatThrownBy(() -> OperatorSettings.parse(ini.replace('#', '\n'), ZONES))
        .isInstanceOfSatisfying(
            InvalidSettingsException.class,
            e -> {
              assertThat(e.section()).contains(section);
              assertThat(e.key()).contains(key);
              assertThat(e.expected()).contains(expected);
              assertThat(e.file()).isEmpty();
            });
  }

  @ParameterizedTest(name = "{0} -> {1}: section {2}, key {3}: {4}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "size = 3|size = \"three\"|facts|size|wrong type at facts.size: it must be an integer",
        "\"10.2.0.1:2379\"|\"x\"|services|state|missing or invalid: services.state (host:port)",
        "cpus_max = 2.0|cpus_max = 0.5|facts.teams|cpus|missing or invalid: facts.teams.cpus of t",
        "lease_s = 30.0||facts.workers|lease_s|missing or invalid: facts.workers.lease_s",
        "peer_bind = \"10.0.0.1:8081\"|||peer_bind|missing or invalid: peer_bind (host:port)",
      })
  void reportsSectionAndKeyOfInvalidPlatformSetting(
      String original, String replacement, String section, String key, String message) {
    assertThat(VALID_TOML).contains(original);
    assertThatThrownBy(
            () ->
                SettingsReader.parse(
                    VALID_TOML.replace(original, replacement == null ? "" : replacement)))
        .isInstanceOfSatisfying(
            InvalidSettingsException.class,
            e -> {
              assertThat(e.section()).contains(section == null ? "" : section);
              assertThat(e.key()).contains(key);
              assertThat(e).hasMessage(message);
            });
  }

  @Test
  void reportsFileOfInvalidOperatorSetting(@TempDir Path directory) throws IOException {
    Path file = Files.writeString(directory.resolve("own.ini"), "[plan]\nperiod_s = 0");
    assertThatThrownBy(() -> OperatorSettings.read(file, ZONES))
        .isInstanceOfSatisfying(
            InvalidSettingsException.class,
            e -> {
              assertThat(e.file()).contains(file.toString());
              assertThat(e.key()).contains("period_s");
              assertThat(e)
                  .hasMessage(file + ": [plan] period_s must be a number from 0.5 to 86400.0: 0");
            });
  }

  @Test
  void reportsMissingFile(@TempDir Path directory) {
    Path file = directory.resolve("none.toml");
    assertThatThrownBy(() -> SettingsReader.read(file))
        .isInstanceOfSatisfying(
            InvalidSettingsException.class,
            e -> {
              assertThat(e.file()).contains(file.toString());
              assertThat(e).hasMessage("cannot read " + file + ": NoSuchFileException");
            });
  }
}
