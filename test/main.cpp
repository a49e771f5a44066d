#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

int main(int argc, char **argv)
{
    // The same cases on each run; RapidCheck prints the seed.
    setenv("RC_PARAMS", "seed=20261202", 0);
    return doctest::Context{argc, argv}.run();
}
