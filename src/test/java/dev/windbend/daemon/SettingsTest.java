package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.windbend.shard.Policy;
import dev.windbend.zone.ZonePolicy;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsTest {
  private static final List<String> ZONES = List.of("a", "b");

  private static final String GOOD =
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
  void readsThePlatformsFileAndIgnoresWhatItDoesNotKnow() throws Settings.Invalid {
    Settings s = Settings.parse(GOOD);
    assertThat(s.node()).isEqualTo("mast-0");
    assertThat(s.facts().teams().get(0).maxCores()).isEqualTo(2);
    assertThat(s.peers()).isEmpty();
  }

  @ParameterizedTest(name = "{0} -> {1} names {2}")
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
  void saysWhatIsWrong(String from, String to, String named) {
    assertThat(GOOD).contains(from);
    assertThatThrownBy(() -> Settings.parse(GOOD.replace(from, to == null ? "" : to)))
        .isInstanceOf(Settings.Invalid.class)
        .hasMessageContaining(named);
  }

  /** A guest team: taken for a limit of no cores at all, every job of it was refused with 422. */
  @Test
  void aLimitOfZeroIsNone() throws Settings.Invalid {
    Settings s =
        Settings.parse(
            GOOD.replace("cpus = 1.0", "cpus = 0.0").replace("_max = 2.0", "_max = 0.0"));
    assertThat(s.facts().teams().get(0).cores()).isZero();
    assertThat(s.facts().teams().get(0).maxCores()).isInfinite();
    assertThat(s.facts().teams().get(0).maxGpus()).isInfinite();
  }

  @Test
  void operatorsMaySetTheDesignsNumbers() throws Settings.Invalid {
    Policy p = OperatorSettings.parse("[plan]\nperiod_s = 5\nrounds_on_events = false\n", ZONES);
    assertThat(p.cyclePeriodMs()).isEqualTo(5_000);
    assertThat(p.cyclesOnEvents()).isFalse();
    assertThat(p.billingBlockMs()).isEqualTo(OperatorSettings.defaults().billingBlockMs());
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
  void operatorsMistakesAreNamed(String ini) {
    assertThatThrownBy(() -> OperatorSettings.parse(ini, ZONES))
        .isInstanceOf(Settings.Invalid.class)
        .hasMessageContaining("must be");
  }

  /** Section, key and range are named, and for zones those that the deployment has. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "widen_s = 5000|[zone] widen_s must be a number from 1.0 to 3600.0: 5000",
        "zones = nowhere|[zone] zones must be zones of the deployment, which are a, b: nowhere",
      })
  void mistakesOfZonesAreNamedInFull(String line, String message) {
    assertThatThrownBy(() -> OperatorSettings.parse("[zone]\n" + line, ZONES))
        .isInstanceOf(Settings.Invalid.class)
        .hasMessage(message);
  }

  @Test
  void zonesAreLookedAfterWhereTheFileSaysSo() throws Settings.Invalid {
    ZonePolicy p = OperatorSettings.parse("[zone]\nenabled = true\nzones = b\n", ZONES).zones();
    assertThat(p.enabled()).isTrue();
    assertThat(p.watched()).containsExactly("b");
    assertThat(OperatorSettings.defaults().zones().enabled()).isFalse();
  }

  @Test
  void aFormerNameIsAnsweredWithTheNewOne() {
    assertThatThrownBy(() -> OperatorSettings.parse("[part]\nhold_s = 4", ZONES))
        .isInstanceOf(Settings.Invalid.class)
        .hasMessageContaining("[shard]");
  }
}
