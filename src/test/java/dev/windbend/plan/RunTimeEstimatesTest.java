package dev.windbend.plan;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RunTimeEstimatesTest {
  @Test
  void returnsMeanOfLastTwoRunTimesElseDeclaredRunTime() {
    RunTimeEstimates estimates = new RunTimeEstimates();
    assertThat(estimates.estimatedRunTimeSeconds("a", 50)).isEqualTo(50);
    estimates.recordRunTime("a", 10);
    assertThat(estimates.estimatedRunTimeSeconds("a", 50)).isEqualTo(50);
    estimates.recordRunTime("a", 20);
    assertThat(estimates.estimatedRunTimeSeconds("a", 50)).isEqualTo(15);
    estimates.recordRunTime("a", 40);
    assertThat(estimates.estimatedRunTimeSeconds("a", 50)).isEqualTo(30);
    assertThat(estimates.estimatedRunTimeSeconds("b", 50)).isEqualTo(50);
  }

  @ParameterizedTest
  @CsvSource({"10,5,10", "10,10,10", "10,11,20", "10,35,40", "10,41,80", "0,3,4"})
  void doublesEstimateUntilItCoversElapsedTime(double estimate, double elapsed, double corrected) {
    assertThat(RunTimeEstimates.correctedSeconds(estimate, elapsed)).isEqualTo(corrected);
  }
}
