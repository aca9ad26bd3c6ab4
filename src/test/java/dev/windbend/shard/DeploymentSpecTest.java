package dev.windbend.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Time limits of jobs, from their deadline and the objectives of their class. */
class DeploymentSpecTest {
  private static final DeploymentSpec.ServiceObjectives OBJECTIVES =
      new DeploymentSpec.ServiceObjectives(
          Map.of("both", new double[] {1, 1.5}, "times", new double[] {1, 1.5}),
          Map.of("both", new double[] {250}, "within", new double[] {150, 250}),
          Map.of(),
          0);

  /** A job past its own deadline is not hopeless while a later limit of its class can be met. */
  @ParameterizedTest(name = "class {0}, deadline {1} s, objectives applied {2}: limits {3}")
  @CsvSource({
    "both,100,true,100 150 250",
    "both,200,true,200 250 300",
    "both,100,false,100",
    "times,100,true,100 150",
    "within,,true,150 250",
    "within,,false,400",
    "none,100,true,100",
    "none,,true,400",
  })
  void timeLimitsIncludeEachLimitOfTheClass(
      String kind, Double deadlineSeconds, boolean useObjectives, String expected) {
    String actual =
        Arrays.stream(OBJECTIVES.timeLimitsSeconds(kind, deadlineSeconds, 400, useObjectives))
            .mapToObj(l -> Long.toString(Math.round(l)))
            .collect(Collectors.joining(" "));
    assertThat(actual).isEqualTo(expected);
  }
}
