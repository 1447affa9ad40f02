#include <cstdio>
#include <gtest/gtest.h>

// Runs every test, then prints the totals in the form that scripts parse.
int main(int argc, char **argv)
{
	testing::InitGoogleTest(&argc, argv);
	int rc = RUN_ALL_TESTS();
	const auto *u = testing::UnitTest::GetInstance();
	printf("%d passed, %d failed\n", u->successful_test_count(),
	       u->failed_test_count());
	return rc;
}
