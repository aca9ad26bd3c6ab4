package dev.windbend.plan;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Selection of the time limit that a job can still meet. */
class DeadlineTest {
  @ParameterizedTest
  @CsvSource({"0,100,false", "60,100,false", "61,150,false", "110,150,false", "111,150,true"})
  void returnsEarliestAttainableLimitElseLastLimit(double age, double due, boolean unattainable) {
    assertThat(Deadline.nextAttainable(new double[] {100, 150}, age, 40))
        .isEqualTo(new Deadline(due, unattainable));
  }
}
