package dev.windbend.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class IntakeTest {
  private static final String GOOD =
      "{'uid':'wk-000412','fleet':'train','crew':'vision','shape':'batch','urgency':'urgent',"
          + "'drops':16,'cores':8.0,'cards':1.0,'ram_gb':64.0,'load':'img-07','pull_gb':6.2,"
          + "'rigs':['g8'],'yard':null,'together':true,'spread':false,'standby':true,"
          + "'haul_s':240.0,'waypoint_s':30.0,'stow_s':4.0,'due_s':900.0,'new_field':{}}";

  private static byte[] json(String text) {
    return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void readsAGoodOneAndIgnoresUnknownFields() throws Intake.Malformed {
    JobSpec s = Intake.read(json(GOOD));
    assertThat(s.uid()).isEqualTo("wk-000412");
    assertThat(s.tasks()).isEqualTo(16);
    assertThat(s.types()).containsExactly("g8");
    assertThat(s.zone()).isNull();
    assertThat(s.dueS()).isEqualTo(900);
  }

  @Test
  void takesMissingForNull() throws Intake.Malformed {
    assertThat(Intake.read(json(GOOD.replace("'due_s':900.0,", ""))).dueS()).isNull();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "{", "[]", "7", "null", "'x'", "{}", "{} {}"})
  void refusesWhatIsNoObject(String text) {
    assertThatThrownBy(() -> Intake.read(json(text))).isInstanceOf(Intake.Malformed.class);
  }

  @ParameterizedTest(name = "{0} -> {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "'uid':'wk-000412'|'uid':'job-1'",
        "'uid':'wk-000412'|'uid':7",
        "'drops':16|'drops':0",
        "'drops':16|'drops':100001",
        "'drops':16|'drops':1.5",
        "'drops':16|'drops':'16'",
        "'cores':8.0|'cores':0",
        "'cores':8.0|'cores':-1",
        "'cores':8.0|'cores':NaN",
        "'cores':8.0|'cores':1e400",
        "'cores':8.0|'cores':null",
        "'ram_gb':64.0|'ram_gb':true",
        "'shape':'batch'|'shape':'heap'",
        "'urgency':'urgent'|'urgency':'soon'",
        "'urgency':'urgent'|'urgency':'URGENT'",
        "'rigs':['g8']|'rigs':'g8'",
        "'rigs':['g8']|'rigs':[8]",
        "'together':true|'together':1",
        "'due_s':900.0|'due_s':-1",
        "'crew':'vision',|",
      })
  void refusesABadField(String from, String to) {
    assertThat(GOOD).contains(from);
    String bad = GOOD.replace(from, to == null ? "" : to);
    assertThatThrownBy(() -> Intake.read(json(bad))).isInstanceOf(Intake.Malformed.class);
  }
}
